package crashes

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

var (
	otherBinary  = flag.String("other-binary", "", "path of a program of another version for every second host")
	restoreHosts = flag.Int("restore-hosts", 5, "number of hosts of the plays with a restored store")
)

const (
	restoreEngines, restoreModels = 4, 16
	// heartbeat is the time between two writes of an engine's entry.
	heartbeat = 300 * time.Millisecond
	// drainTime is the time from the acknowledgement that an engine leaves to its end, leaseTime
	// the time between two terms of a holder, thawSlack that in which orders of a host that
	// thawed or was cut off don't count.
	drainTime, leaseTime, thawSlack = 2 * time.Second, 3 * time.Second, 300 * time.Millisecond
	// settledAfter is the time from the last disturbance until requests are served again.
	settledAfter = 7 * time.Second
)

// restorePlan is one form of what may happen around a drill, in which the store comes back from
// an older copy.
type restorePlan struct {
	drills        int
	gap           time.Duration // between two drills
	age           time.Duration // of the copy
	takeBefore    time.Duration // from the time at which a key is taken away, and an engine leaves, to the drill
	rewrittenIn   time.Duration // from the return of the store until the operator writes again
	coordinator   int           // what happens to the coordinator, as in host.disturb; -1: nothing
	before        bool          // it happens before the drill, not after it
	others        int           // further disturbances beside; a host that nothing happens to remains
	restartedLate bool          // a host starts after the drill, before the operator writes again
}

// Guards against fencing tokens that two holders have or that fall, holders that take turns, keys
// and engines that are used again or on, and fleets that serve no more, after the store has come
// back from an older copy (checks ONE, CONFIG, DRAIN and LOST).
func TestRestoredStore(t *testing.T) {
	for name, plan := range map[string]restorePlan{
		"nothing beside":                       {drills: 1, age: 4 * time.Second, takeBefore: 1500 * time.Millisecond, rewrittenIn: 2 * time.Second, coordinator: -1},
		"second drill soon after, copy is old": {drills: 2, gap: 800 * time.Millisecond, age: time.Minute, takeBefore: 1500 * time.Millisecond, rewrittenIn: time.Second, coordinator: -1},
		"coordinator killed before":            {drills: 1, age: 4 * time.Second, takeBefore: 2 * time.Second, rewrittenIn: 2 * time.Second, before: true},
		"coordinator stopped, host starts":     {drills: 1, age: 5 * time.Second, takeBefore: 2 * time.Second, rewrittenIn: 2 * time.Second, coordinator: 1, restartedLate: true},
		"coordinator frozen before":            {drills: 1, age: 4 * time.Second, takeBefore: 2 * time.Second, rewrittenIn: time.Second, coordinator: 2, before: true},
		"host starts, operator is slow":        {drills: 1, age: 4 * time.Second, takeBefore: 2 * time.Second, rewrittenIn: 7 * time.Second, coordinator: -1, restartedLate: true},
		"coordinator killed, operator is slow": {drills: 1, age: 4 * time.Second, takeBefore: 2 * time.Second, rewrittenIn: 7 * time.Second, coordinator: 0, restartedLate: true},
		"coordinator cut off":                  {drills: 2, gap: 2 * time.Second, age: 3 * time.Second, takeBefore: 2 * time.Second, rewrittenIn: time.Second, coordinator: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playRestore(t, plan, 1)
		})
	}
}

// Guards against the same in forms drawn at random. Many are started by hand:
// go test ./tests/crashes -run RestoredStoreSoak -soak-seeds 50 -parallel 6 -timeout 60m, some
// with -restore-hosts 60 -parallel 2.
func TestRestoredStoreSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 53))
			between := func(a, b time.Duration) time.Duration { return a + time.Duration(random.Int64N(int64(b-a))) }
			plan := restorePlan{
				drills: 1 + random.IntN(3), gap: between(0, 4*time.Second), age: between(time.Second, 8*time.Second),
				takeBefore: between(1500*time.Millisecond, 4*time.Second), rewrittenIn: between(100*time.Millisecond, 7*time.Second),
				coordinator: random.IntN(5) - 1, before: random.IntN(2) == 0, others: random.IntN(3), restartedLate: random.IntN(3) == 0,
			}
			t.Logf("%+v", plan)
			playRestore(t, plan, seed)
		})
	}
}

// restorePlay is a fleet whose operator takes keys away and whose engines write heartbeats.
type restorePlay struct {
	*soak
	ended chan struct{}
	up    sync.RWMutex // read-locked by writers of the store

	mu      sync.Mutex
	version int
	keys    []string
	takenAt map[string]time.Time // keys that were taken away
	left    time.Time            // when the last engine reported that it leaves
	healed  map[string][]time.Time
}

func playRestore(t *testing.T, plan restorePlan, seed uint64) {
	p := &restorePlay{
		soak:  &soak{random: rand.New(rand.NewPCG(seed, 54)), inTouch: map[string]bool{}},
		ended: make(chan struct{}), keys: []string{apiKey, "key-taken", "key-late"}, takenAt: map[string]time.Time{}, healed: map[string][]time.Time{},
	}
	p.fleet = &fleet{t: t, store: platformtest.NewStore(), callers: &http.Client{Timeout: 8 * time.Second}, keyBound: 5 * time.Second}
	p.start(*restoreHosts, restoreEngines, "", func() {})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(p.ended)
	p.write()
	for i := range p.engines {
		group.Go(func() { p.heartbeats(i) })
	}
	for _, key := range []string{apiKey, "key-taken", "key-late"} {
		group.Go(func() {
			p.repeatUntil(p.ended, 60*time.Millisecond, seed, func(h *host, i int) { p.request(h, key, i) })
		})
	}
	backups := []platformtest.Copy{p.store.Backup()}
	wait := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			backups = append(backups, p.store.Backup())
		}
	}
	wait(3 * time.Second)
	p.takeAway("key-taken")
	wait(plan.takeBefore)
	var disturbances sync.WaitGroup
	if plan.before {
		p.disturbCoordinator(&disturbances, plan.coordinator)
	}
	for range plan.others {
		p.disturbHost(&disturbances, p.hosts[p.random.IntN(len(p.hosts))], p.random.IntN(4))
	}
	for drill := range plan.drills {
		if drill > 0 {
			wait(plan.gap)
		}
		copied := max(0, len(backups)-1-int(plan.age/(200*time.Millisecond)))
		p.drill(backups[copied], plan.rewrittenIn)
		backups = backups[:copied+1]
	}
	if !plan.before {
		p.disturbCoordinator(&disturbances, plan.coordinator)
	}
	if plan.restartedLate {
		p.disturbHost(&disturbances, p.hosts[p.random.IntN(len(p.hosts))], 0)
	}
	wait(plan.rewrittenIn + time.Second)
	p.takeAway("key-late")
	disturbances.Wait()
	calmFrom := time.Now()
	time.Sleep(settledAfter + observedTime)
	p.check(calmFrom)
}

// write writes the newest configuration, as the operator does again after a drill.
func (p *restorePlay) write() {
	p.up.RLock()
	defer p.up.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	models := []string{}
	for i := range restoreModels {
		models = append(models, fmt.Sprintf("m%d", i+1))
	}
	p.version++
	p.writeConfig(2+p.version, models, p.keys...)
}

// takeAway takes a key away, and makes the last engine leave.
func (p *restorePlay) takeAway(key string) {
	p.mu.Lock()
	p.keys = slices.DeleteFunc(p.keys, func(k string) bool { return k == key })
	p.mu.Unlock()
	p.write()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takenAt[key] = time.Now()
	if p.left.IsZero() {
		p.left = time.Now().Add(heartbeat)
	}
}

// heartbeats writes the entry of an engine until the play ends.
func (p *restorePlay) heartbeats(i int) {
	for beat := 2; ; beat++ {
		select {
		case <-p.ended:
			return
		case <-time.After(heartbeat):
		}
		state := "ready"
		p.mu.Lock()
		if i == restoreEngines-1 && !p.left.IsZero() {
			state = "draining"
		}
		p.mu.Unlock()
		entry := p.engines[i].Entry(state)
		entry["seq"] = beat
		p.up.RLock()
		p.store.Set("servers", p.engines[i].ID, entry)
		p.up.RUnlock()
	}
}

// drill takes the store away for a second and brings it back from a copy.
func (p *restorePlay) drill(from platformtest.Copy, rewrittenIn time.Duration) {
	p.up.Lock()
	defer p.up.Unlock()
	p.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(time.Second)
	p.store.Restore(from)
	p.store.SetFaults(platformtest.StoreFaults{})
	p.t.Logf("the store is back from a copy, version %d", p.store.Version())
	time.AfterFunc(rewrittenIn, p.write)
}

func (p *restorePlay) disturbCoordinator(group *sync.WaitGroup, kind int) {
	if c := p.coordinator(); c != nil && kind >= 0 {
		p.disturbHost(group, c, kind)
	}
}

func (p *restorePlay) disturbHost(group *sync.WaitGroup, h *host, kind int) {
	if !h.beginDisturbance() {
		return
	}
	lasts := time.Second + time.Duration(p.random.Int64N(int64(2*time.Second)))
	p.t.Logf("%s: %s for %v", h.name, disturbances[kind], lasts)
	group.Go(func() {
		defer h.endDisturbance()
		h.disturb(kind, lasts)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.healed[h.name] = append(p.healed[h.name], time.Now())
	})
}

// request sends a request with a key for one of the models, half of them for m1.
func (p *restorePlay) request(h *host, key string, i int) {
	model := "m1"
	if i%2 == 0 {
		model = fmt.Sprintf("m%d", 1+i/2%restoreModels)
	}
	r := result{id: fmt.Sprintf("%s/%s/%d-%s", key, model, i, h.name), sentAt: time.Now()}
	r.status, r.text = p.sendAs(h, key, model, r.id, "own:10")
	p.soak.mu.Lock()
	defer p.soak.mu.Unlock()
	p.results = append(p.results, r)
}

// check compares what engines and callers saw with the rules.
func (p *restorePlay) check(calmFrom time.Time) {
	p.t.Helper()
	p.soak.mu.Lock()
	defer p.soak.mu.Unlock()
	sentAt := map[string]time.Time{}
	served, sent, refused := 0, 0, map[string]int{}
	for _, r := range p.results {
		sentAt[r.id] = r.sentAt
		if r.sentAt.Before(calmFrom.Add(settledAfter)) || !strings.HasPrefix(r.id, apiKey+"/m1/") {
			continue
		}
		if sent++; r.status == http.StatusOK {
			served++
		} else {
			refused[fmt.Sprintf("%d %.60q", r.status, r.text)]++
		}
	}
	if sent < 20 || float64(served) < minServed*float64(sent) {
		p.t.Errorf("%d of %d requests served in the end: %v", served, sent, refused)
	}
	orders := 0
	for i, engine := range p.engines {
		orders += len(engine.ReceivedOrders())
		for _, request := range engine.ReceivedRequests() {
			at := sentAt[request.ID]
			key, _, _ := strings.Cut(request.ID, "/")
			if taken, ok := p.takenAt[key]; ok && at.After(taken.Add(p.keyBound)) && request.Ran {
				p.t.Errorf("%s ran, %v after the key was taken away", request.ID, at.Sub(taken))
			}
			if i == restoreEngines-1 && p.inTouch[request.ID] && at.After(p.left.Add(drainTime+time.Second)) && request.Ran {
				p.t.Errorf("%s reached an engine %v after it had reported that it leaves", request.ID, at.Sub(p.left))
			}
		}
		p.checkOrders(engine)
	}
	p.t.Logf("%d of %d requests served in the end, %d orders", served, sent, orders)
	if orders == 0 {
		p.t.Error("no orders")
	}
}

// checkOrders checks the holders of the orders that one engine received.
func (p *restorePlay) checkOrders(engine *platformtest.Worker) {
	owner, ended, highest, last := map[int64]string{}, map[string]time.Time{}, int64(0), platformtest.ReceivedOrder{}
	for _, order := range engine.ReceivedOrders() {
		if slices.ContainsFunc(p.healed[order.Holder], func(at time.Time) bool { return order.At.Sub(at).Abs() < thawSlack }) {
			continue
		}
		if other, ok := owner[order.Fence]; ok && other != order.Holder {
			p.t.Errorf("%s and %s both gave orders with the token %d", other, order.Holder, order.Fence)
		}
		if order.Fence < highest {
			p.t.Errorf("%s gave an order with the token %d after %d", order.Holder, order.Fence, highest)
		}
		if before, ok := ended[order.Holder]; ok && last.Holder != order.Holder && order.At.Sub(last.At) < leaseTime {
			p.t.Errorf("%s took turns with %s: orders %v and %v ago", order.Holder, last.Holder, order.At.Sub(before), order.At.Sub(last.At))
		}
		owner[order.Fence], ended[order.Holder], highest, last = order.Holder, order.At, max(highest, order.Fence), order
	}
}
