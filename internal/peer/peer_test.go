package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

// hangingListener can make the connections accepted so far hang: they stay open,
// but writes to them block until they are closed.
type hangingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*hangingConn
}

type hangingConn struct {
	net.Conn
	hung   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *hangingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &hangingConn{Conn: conn, hung: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, wrapped)
	return wrapped, nil
}

func (l *hangingListener) hang() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.hung)
	}
	l.conns = nil
}

func (c *hangingConn) Write(data []byte) (int, error) {
	select {
	case <-c.hung:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(data)
	}
}

func (c *hangingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// startMeshes starts a mesh for each host name, all in one data centre, and returns
// the meshes and their listeners. The meshes run until the end of the test.
func startMeshes(t *testing.T, handlers map[string]Handlers) (map[string]*Mesh, map[string]*hangingListener) {
	t.Helper()
	listeners := map[string]*hangingListener{}
	hosts := map[string]config.Host{}
	for name := range handlers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = &hangingListener{Listener: listener}
		hosts[name] = config.Host{PeerAddress: listener.Addr().String(), DataCenter: "x"}
	}
	meshes := map[string]*Mesh{}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for name, h := range handlers {
		mesh := NewMesh(Identity{Host: name, DataCenter: "x", Incarnation: 7}, h, Options{})
		mesh.SetHosts(hosts)
		meshes[name] = mesh
		group.Go(func() {
			if err := mesh.Run(ctx, listeners[name]); err != nil {
				t.Errorf("run %s: %v", name, err)
			}
		})
	}
	return meshes, listeners
}

// Guards against message conversions that lose fields, and against errors without
// the documented types.
func TestCalls(t *testing.T) {
	grant := quota.LoanGrant{
		Workspace: "w", Lender: "b", LenderIncarnation: 3, Borrower: "a", Incarnation: 7, Sequence: 9,
		Amount: 12.5, Hold: 122 * time.Second, Spare: 40,
	}
	report := quota.LoanReturn{Workspace: "w", Lender: "b", LenderIncarnation: 3, Borrower: "a", Sequence: 9, Unused: 2, Used: 1}
	returned := make(chan quota.LoanReturn, 1)
	meshes, _ := startMeshes(t, map[string]Handlers{"a": {}, "b": {
		Borrow: func(r quota.LoanRequest) quota.LoanGrant {
			if r.Remaining != 30*time.Millisecond {
				t.Errorf("request %+v", r)
			}
			return grant
		},
		ReturnLoan: func(r quota.LoanReturn) { returned <- r },
	}})
	ctx := context.Background()
	got, err := meshes["a"].Borrow(ctx, "b", quota.LoanRequest{Workspace: "w", Amount: 20, Borrower: "a", Remaining: 30 * time.Millisecond})
	if err != nil || got != grant {
		t.Errorf("grant %+v, %v", got, err)
	}
	if err := meshes["a"].ReturnLoan(ctx, "b", report); err != nil {
		t.Error(err)
	} else if got := <-returned; got != report {
		t.Errorf("report %+v", got)
	}
	var unknown *UnknownHostError
	if _, err := meshes["a"].Status(ctx, "c"); !errors.As(err, &unknown) {
		t.Errorf("unknown host: %v", err)
	}
	var remote *RemoteError
	if _, err := meshes["a"].Status(ctx, "b"); !errors.As(err, &remote) {
		t.Errorf("unhandled call: %v", err)
	}
	if _, err := meshes["a"].Borrow(ctx, "b", quota.LoanRequest{Borrower: "a", Amount: math.Inf(1)}); !errors.As(err, &remote) {
		t.Errorf("message out of bounds: %v", err)
	}
}

// Guards against reusing an unresponsive connection: calls must succeed again within
// 5 s.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	local := func() *peerpb.HeartbeatMessage { return &peerpb.HeartbeatMessage{ConfigVersion: 4} }
	meshes, listeners := startMeshes(t, map[string]Handlers{"a": {}, "b": {LocalHeartbeat: local}})
	waitFor(t, 5*time.Second, "first heartbeat", func() bool {
		state, _ := meshes["a"].Peer("b")
		return state.ConfigVersion == 4 && state.RoundTrip > 0
	})
	listeners["b"].hang()
	hungAt := time.Now()
	waitFor(t, 5*time.Second, "response over a new connection", func() bool {
		state, _ := meshes["a"].Peer("b")
		return meshes["a"].Heartbeat(context.Background(), "b") == nil && state.LastHeard.After(hungAt)
	})
}

// Guards against a host that stays unreachable after it listens on its address
// again.
func TestRestartedHostIsRedialled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	hosts := map[string]config.Host{"b": {PeerAddress: address, DataCenter: "x"}}
	a := NewMesh(Identity{Host: "a", DataCenter: "x"}, Handlers{}, Options{})
	a.SetHosts(hosts)
	var unreachable *UnreachableError
	if err := a.Heartbeat(context.Background(), "b"); !errors.As(err, &unreachable) {
		t.Fatalf("call to a closed port: %v", err)
	}
	var backoff *BackoffError
	if err := a.Heartbeat(context.Background(), "b"); !errors.As(err, &backoff) {
		t.Fatalf("second call at once: %v", err)
	}
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	b := NewMesh(Identity{Host: "b", DataCenter: "x"}, Handlers{}, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- b.Run(ctx, listener) }()
	waitFor(t, 5*time.Second, "response", func() bool { return a.Heartbeat(ctx, "b") == nil })
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func waitFor(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("no %s within %v", what, limit)
}

// Guards against a host that receives no heartbeats, and against a number of targets
// that grows with the fleet.
func TestEveryHostIsReached(t *testing.T) {
	for _, size := range []int{1, 3, 8, 9, 40, 113} {
		hosts := map[string]config.Host{}
		for i := range 3 * size {
			hosts[fmt.Sprintf("h%d", i)] = config.Host{DataCenter: fmt.Sprintf("dc%d", i%3)}
		}
		reached := map[string]bool{}
		for name, host := range hosts {
			chosen := chooseTargets(Identity{Host: name, DataCenter: host.DataCenter}, hosts)
			if len(chosen.local) > maxLocalTargets || len(chosen.remote) > 2*remoteTargetsPerDataCenter {
				t.Fatalf("size %d: %d local and %d remote targets", size, len(chosen.local), len(chosen.remote))
			}
			for _, target := range chosen.round(0) {
				reached[target] = true
			}
		}
		if len(reached) != len(hosts) {
			t.Errorf("size %d: %d of %d hosts are reached", size, len(reached), len(hosts))
		}
	}
}

// Guards against a rotation that leaves out some remote targets.
func TestRemoteTargetsRotate(t *testing.T) {
	chosen := heartbeatTargets{remote: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}}
	reached := map[string]bool{}
	for round := range 3 {
		hosts := chosen.round(round)
		if len(hosts) != maxRemotePerRound {
			t.Fatalf("%d heartbeats in a round", len(hosts))
		}
		for _, host := range hosts {
			reached[host] = true
		}
	}
	if len(reached) != len(chosen.remote) {
		t.Errorf("%d of %d remote targets in three rounds", len(reached), len(chosen.remote))
	}
}

// FuzzDecode guards against messages that crash the receiver, and against messages
// that pass validation with token amounts that are negative, infinite or NaN.
func FuzzDecode(f *testing.F) {
	seeds := []proto.Message{
		&peerpb.LoanRequest{Workspace: "w", Amount: 3, Taker: "a"},
		&peerpb.LoanGrant{Amount: 3, HoldMs: 4},
		&peerpb.LoanReturn{Unused: 1, Used: math.NaN()},
		&peerpb.HeartbeatMessage{From: &peerpb.Sender{Host: "a"}, Spare: []*peerpb.SpareTokens{{Tokens: -1}}},
		&peerpb.UpstreamSigns{Signs: []*peerpb.Sign{{Address: "x", AgeMs: 3}}},
	}
	for i, seed := range seeds {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		messages := []proto.Message{
			&peerpb.LoanRequest{}, &peerpb.LoanGrant{}, &peerpb.LoanReturn{}, &peerpb.HeartbeatMessage{},
			&peerpb.UpstreamSigns{}, &peerpb.Suspicions{}, &peerpb.Deltas{}, &peerpb.SlotRelease{},
			&peerpb.DemandReport{}, &peerpb.DemandReply{}, &peerpb.StatusReply{}, &peerpb.PullRequest{},
		}
		message := messages[int(kind)%len(messages)]
		if proto.Unmarshal(data, message) != nil || validate(message) != nil {
			return
		}
		switch m := message.(type) {
		case *peerpb.LoanRequest:
			if r := requestFromMessage(m); !(r.Amount >= 0) || r.Remaining < 0 || r.Borrower == "" {
				t.Errorf("accepted %+v", r)
			}
		case *peerpb.LoanGrant:
			if g := grantFromMessage(m); !(g.Amount >= 0) || g.Hold < 0 || math.IsInf(g.Spare, 0) {
				t.Errorf("accepted %+v", g)
			}
		case *peerpb.LoanReturn:
			if r := returnFromMessage(m); !(r.Unused >= 0) || !(r.Used >= 0) {
				t.Errorf("accepted %+v", r)
			}
		case *peerpb.HeartbeatMessage:
			for _, spare := range SparesFromMessage(m.GetSpare()) {
				if !(spare.Tokens >= 0) || !(spare.Demand >= 0) {
					t.Errorf("accepted %+v", spare)
				}
			}
		}
	})
}
