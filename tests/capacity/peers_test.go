package capacity

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

// newHeartbeat returns a heartbeat with the spare tokens of five workspaces.
func newHeartbeat(hash string) *peerpb.HeartbeatMessage {
	message := &peerpb.HeartbeatMessage{ConfigVersion: 12_345, ConfigHash: hash, PlatformAgeMs: 300, ConfirmedAgeMs: 400}
	for _, workspace := range []string{"workspace-1", "workspace-2", "workspace-3", "workspace-4", "workspace-5"} {
		message.Spare = append(message.Spare, &peerpb.SpareTokens{Workspace: workspace, Tokens: 1234.5, DemandPerS: 99.5})
	}
	return message
}

// meshFleet is a number of meshes that are connected over loopback.
type meshFleet struct {
	meshes  []*peer.Mesh
	bytes   counters
	stop    context.CancelFunc
	running conc.WaitGroup
}

func startMeshFleet(b *testing.B, size int, handlers peer.Handlers) *meshFleet {
	b.Helper()
	f := &meshFleet{}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	hosts := currentShape(size).document().Hosts
	for i := range size {
		mesh := peer.NewMesh(peer.Identity{Host: hostName(i), DataCenter: dataCenterName(i), Incarnation: 1e18 + uint64(i)}, handlers, peer.Options{})
		mesh.SetHosts(hosts)
		listener, err := net.Listen("tcp", loopbackAddress(i, peerPort))
		if err != nil {
			b.Fatal(err)
		}
		f.meshes = append(f.meshes, mesh)
		f.running.Go(func() {
			if err := mesh.Run(ctx, countingListener{listener, &f.bytes}); err != nil && ctx.Err() == nil {
				b.Error(err)
			}
		})
	}
	return f
}

func (f *meshFleet) close() {
	f.stop()
	f.running.Wait()
}

// BenchmarkHeartbeats measures meshes that only exchange heartbeats. Each byte is
// counted twice, for the sender and for the receiver.
func BenchmarkHeartbeats(b *testing.B) {
	s := newSeries("heartbeats", "host", growthHosts)
	s.fitFrom = 32
	hash := newSnapshot(b, 1, currentShape(8).document()).Hash
	handlers := peer.Handlers{LocalHeartbeat: func() *peerpb.HeartbeatMessage { return newHeartbeat(hash) }}
	for range b.N {
		for _, size := range []int{8, 32, 64, 128, 256} {
			heap := liveHeap()
			fleet := startMeshFleet(b, size, handlers)
			time.Sleep(settleTime)
			s.add("heap bytes per host", float64(size), (liveHeap()-heap)/float64(size))
			bytes, cpu, start := fleet.bytes.total(), cpuTime(b), time.Now()
			time.Sleep(measureTime)
			elapsed := time.Since(start).Seconds()
			s.add("CPU percent of a core per host", float64(size), 100*(cpuTime(b)-cpu).Seconds()/elapsed/float64(size))
			s.add("bytes/s per host, sent and received", float64(size), 2*float64(fleet.bytes.total()-bytes)/elapsed/float64(size))
			fleet.close()
		}
	}
	s.print()
}

// BenchmarkKnownHosts measures the cost per host of each host in the
// configuration.
func BenchmarkKnownHosts(b *testing.B) {
	s := newSeries("known hosts", "host", growthHosts)
	for range b.N {
		for _, size := range []int{100, 400, 850, growthHosts} {
			hosts := currentShape(size).document().Hosts
			heap := liveHeap()
			mesh := peer.NewMesh(peer.Identity{Host: hostName(0), DataCenter: dataCenterName(0)}, peer.Handlers{}, peer.Options{})
			mesh.SetHosts(hosts)
			s.add("heap bytes", float64(size), liveHeap()-heap)
			s.add("SetHosts ms", float64(size), 1000*timePerCall(b, 200*time.Millisecond, func() { mesh.SetHosts(hosts) }))
			s.add("Visit ms", float64(size), 1000*timePerCall(b, 200*time.Millisecond, func() { mesh.Visit(func(peer.State) {}) }))
			s.add("Peers ms", float64(size), 1000*timePerCall(b, 200*time.Millisecond, func() { mesh.Peers() }))
		}
	}
	s.print()
}

// BenchmarkConnections measures the cost of connections between hosts: one host
// requests the status of each other host, as an operator's status query does.
// The heap includes both ends of the connections.
func BenchmarkConnections(b *testing.B) {
	s := newSeries("connections", "host asked", growthHosts)
	handlers := peer.Handlers{Status: func(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
		return &peerpb.StatusReply{ConfigVersion: 1}, nil
	}}
	for range b.N {
		for _, size := range []int{16, 64, 128, 256, 512} {
			fleet := startMeshFleet(b, size+1, handlers)
			time.Sleep(settleTime)
			heap, bytes, cpu := liveHeap(), fleet.bytes.total(), cpuTime(b)
			for i := range size {
				if _, err := fleet.meshes[0].Status(context.Background(), hostName(i+1)); err != nil {
					b.Fatal(err)
				}
			}
			s.add("bytes, with heartbeats of the time", float64(size), float64(fleet.bytes.total()-bytes))
			s.add("CPU ms, both ends", float64(size), 1000*(cpuTime(b)-cpu).Seconds())
			time.Sleep(time.Second)
			s.add("heap bytes 1 s later", float64(size), liveHeap()-heap)
			fleet.close()
		}
	}
	s.print()
}

// BenchmarkPush measures one configuration change that one host pushes to each
// other host on new connections.
func BenchmarkPush(b *testing.B) {
	s := newSeries("push", "host", growthHosts/15)
	record, err := json.Marshal(configstore.Version{
		Number: 12_345, Author: "alice", Time: time.Now(), Reason: "issue key k3 for workspace-7", SubmissionID: "0191f7a2-5d4e-7c3b-9a68-0f3e2d1c4b5a",
		Patch: json.RawMessage(`[{"op":"add","path":"/workspaces/workspace-7/keys/k3","value":{"sha256":"` + config.HashKey("k3") + `"}}]`),
		Hash:  config.HashKey("document"),
	})
	if err != nil {
		b.Fatal(err)
	}
	handlers := peer.Handlers{PushDeltas: func(context.Context, *peerpb.Deltas) (*peerpb.PushReply, error) {
		return &peerpb.PushReply{Version: 12_345, Hash: config.HashKey("document")}, nil
	}}
	for range b.N {
		for _, size := range []int{16, 32, 64, 112, 224} {
			fleet := startMeshFleet(b, size+1, handlers)
			time.Sleep(settleTime) // dials may fail while the meshes start
			bytes, cpu, start := fleet.bytes.total(), cpuTime(b), time.Now()
			for i := range size {
				deltas := &peerpb.Deltas{Deltas: []*peerpb.Delta{{Version: 12_345, Hash: config.HashKey("document"), Record: record}}}
				if _, err := fleet.meshes[0].PushDeltas(context.Background(), hostName(i+1), deltas); err != nil {
					b.Fatal(err)
				}
			}
			s.add("bytes", float64(size), float64(fleet.bytes.total()-bytes))
			s.add("CPU ms, both ends", float64(size), 1000*(cpuTime(b)-cpu).Seconds())
			s.add("ms, one after the other", float64(size), float64(time.Since(start).Milliseconds()))
			fleet.close()
		}
	}
	s.print()
}

// BenchmarkBorrow measures one loan and its return between two hosts.
func BenchmarkBorrow(b *testing.B) {
	s := newSeries("borrow", "loan", 1000)
	handlers := peer.Handlers{
		Borrow: func(r quota.LoanRequest) quota.LoanGrant {
			return quota.LoanGrant{Workspace: r.Workspace, Amount: r.Amount, Borrower: r.Borrower, Lender: "host-0001"}
		},
		ReturnLoan: func(quota.LoanReturn) {},
	}
	for range b.N {
		for _, size := range []int{250, 500, 1000, 2000} {
			fleet := startMeshFleet(b, 2, handlers)
			time.Sleep(time.Second) // dials may fail while the meshes start
			bytes, cpu := fleet.bytes.total(), cpuTime(b)
			for n := range size {
				borrowAndReturn(b, fleet.meshes[0], uint64(n))
			}
			s.add("CPU ms, both hosts", float64(size), 1000*(cpuTime(b)-cpu).Seconds())
			s.add("bytes, sent and received at one host", float64(size), float64(fleet.bytes.total()-bytes))
			fleet.close()
		}
	}
	s.print()
}

func borrowAndReturn(b *testing.B, mesh *peer.Mesh, sequence uint64) {
	b.Helper()
	request := quota.LoanRequest{Workspace: "workspace-1", Amount: 500, Borrower: hostName(0), Incarnation: 1e18, Sequence: sequence}
	if _, err := mesh.Borrow(context.Background(), hostName(1), request); err != nil {
		b.Fatal(err)
	}
	report := quota.LoanReturn{Workspace: "workspace-1", Lender: hostName(1), LenderIncarnation: 1e18, Borrower: hostName(0), Incarnation: 1e18, Sequence: sequence, Unused: 10, Used: 490}
	if err := mesh.ReturnLoan(context.Background(), hostName(1), report); err != nil {
		b.Fatal(err)
	}
}
