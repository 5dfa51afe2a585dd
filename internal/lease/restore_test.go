package lease

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

var (
	restoreSeed  = flag.Uint64("restore-seed", 1, "first seed of the plays with a restored table service")
	restoreSeeds = flag.Uint64("restore-seeds", 8, "number of seeds of the plays with a restored table service")
)

// shortTerms are terms for plays in real time.
var shortTerms = Terms{
	Duration: 180 * time.Millisecond, MaxOrderDelay: 60 * time.Millisecond, ReacquireDelay: 270 * time.Millisecond, SafetyMargin: 30 * time.Millisecond,
}

// newMemoryTable returns an empty table in a generation.
func newMemoryTable(generation int64) *memoryTable {
	return &memoryTable{content: content{position: table.Position{Generation: generation}}}
}

// backup returns the content of the table.
func (m *memoryTable) backup() content {
	m.mu.Lock()
	defer m.mu.Unlock()
	return content{m.position, maps.Clone(m.rows)}
}

// restore replaces the content by an older one, in the next generation.
func (m *memoryTable) restore(from content) {
	m.update(func(m *memoryTable) { m.replace(from) })
}

func (m *memoryTable) replace(by content) {
	m.rows, m.position = maps.Clone(by.rows), table.Position{Generation: m.position.Generation + 1, Revision: by.position.Revision}
}

// link is a member's access to the table: it can be cut off, and calls may be late.
type link struct {
	*memoryTable
	mu   sync.Mutex
	late *rand.Rand // nil: no call is late
	cut  bool
}

// draw reports whether the member is cut off, and whether its call is late.
func (l *link) draw() (cut, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.late != nil && l.late.IntN(12) == 0
}

func (l *link) Read(ctx context.Context, name string) (table.Page, error) {
	cut, late := l.draw()
	if cut {
		return table.Page{}, &table.UnavailableError{Call: "read"}
	}
	page, err := l.memoryTable.Read(ctx, name)
	if late {
		time.Sleep(30 * time.Millisecond)
	}
	return page, err
}

func (l *link) Commit(ctx context.Context, name string, writes ...table.Write) (table.Position, error) {
	cut, late := l.draw()
	if late && !cut {
		time.AfterFunc(300*time.Millisecond, func() {
			_, _ = l.memoryTable.Commit(context.Background(), name, writes...) // nobody hears the outcome
		})
	}
	if cut || late {
		return table.Position{}, &table.UnavailableError{Call: "commit", Unknown: late}
	}
	return l.memoryTable.Commit(ctx, name, writes...)
}

// order is a moment, between two times, at which a host might have sent an order.
type order struct {
	host          string
	fence         int64
	before, after time.Duration
}

// play is a fleet of electors, one for each host's process, whose orders are recorded.
type play struct {
	store   *memoryTable
	links   map[string]*link
	mu      sync.Mutex
	running map[string]*Elector
	frozen  map[string]bool
	orders  []order
}

func newPlay(late func(i uint64) *rand.Rand, hosts ...string) *play {
	p := &play{store: newMemoryTable(1), links: map[string]*link{}, running: map[string]*Elector{}, frozen: map[string]bool{}}
	for i, host := range hosts {
		p.links[host] = &link{memoryTable: p.store, late: late(uint64(i))}
		p.start(host)
	}
	return p
}

func onTime(uint64) *rand.Rand { return nil }

// start starts a process of a host, in place of the one before.
func (p *play) start(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[host] = newElector(host, p.links[host], shortTerms)
}

func (p *play) freeze(host string, frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen[host] = frozen
}

func (p *play) elector(host string) *Elector {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[host]
}

// run lets all hosts act for a time.
func (p *play) run(d time.Duration) {
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for host := range p.links {
		group.Go(func() {
			for ; time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				p.step(host)
			}
		})
	}
	group.Wait()
}

func (p *play) step(host string) {
	p.mu.Lock()
	e, frozen := p.running[host], p.frozen[host]
	p.mu.Unlock()
	if frozen {
		return
	}
	if e.shouldRenew() {
		e.renew(context.Background())
	} else {
		e.poll(context.Background())
	}
	before := clock.SinceBoot()
	if fence, ok := e.MayOrder(0); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.orders = append(p.orders, order{host, fence, before, clock.SinceBoot()})
	}
}

// hold lets a host that was started hold the lease, after the one before has released it.
func (p *play) hold(t *testing.T, host, before string) {
	t.Helper()
	if before != "" {
		p.elector(before).Stop(context.Background())
		p.start(before)
	}
	for deadline := time.Now().Add(2 * time.Second); !p.elector(host).Held(); p.elector(host).poll(context.Background()) {
		if time.Now().After(deadline) {
			t.Fatalf("%s does not get the lease", host)
		}
	}
}

// check judges the orders like an engine that sees them all: a token of two hosts, a token that is
// lower than one before, a host that comes back too soon after another one. A host comes back if
// it was among the two holders before the last one (Record.Former), not long ago.
func (p *play) check(t *testing.T) {
	t.Helper()
	slices.SortFunc(p.orders, func(a, b order) int { return int(a.after - b.after) })
	owner, last, holders, highest := map[int64]string{}, map[string]time.Duration{}, []string{""}, int64(0)
	for i, o := range p.orders {
		if other, ok := owner[o.fence]; ok && other != o.host {
			t.Errorf("%s and %s both had the token %d", other, o.host, o.fence)
		}
		if o.fence < highest {
			t.Errorf("%s had the token %d after %d", o.host, o.fence, highest)
		}
		if latest := holders[len(holders)-1]; latest != o.host {
			least := shortTerms.MaxOrderDelay
			before := holders[max(0, len(holders)-1-maxFormerHolders):]
			if slices.Contains(before, o.host) && o.before-last[o.host] < 5*shortTerms.ReacquireDelay {
				least = shortTerms.ReacquireDelay
			}
			if i > 0 && o.after-p.orders[i-1].before < least {
				t.Errorf("%s ordered %v after %s, want %v; holders %v", o.host, o.after-p.orders[i-1].before, latest, least, holders)
			}
			holders = append(holders, o.host)
		}
		owner[o.fence], last[o.host], highest = o.host, o.after, max(highest, o.fence)
	}
	if end := clock.SinceBoot(); len(p.orders) < 20 || end-p.orders[len(p.orders)-1].after > 5*shortTerms.Duration {
		t.Errorf("%d orders, none in the end; generation %d", len(p.orders), p.store.position.Generation)
	}
}

// Guards against two holders with one fencing token, a lower one after a higher one, and holders
// that take turns too soon, after the table service came back from a copy in which the lease row is
// that of an earlier holder, released, missing, or names the very host that reads it (review/11).
// The holders were a, b and c; a starts after the drill, b has seen the row before it.
func TestHolderAfterRestore(t *testing.T) {
	for copied, at := range map[string]int{"missing": 0, "of host a": 1, "released by host a": 2, "of host b": 3, "released by host b": 4} {
		for state, disturb := range map[string]func(*play){
			"renews":  func(*play) {},
			"frozen":  func(p *play) { p.freeze("c", true) },
			"cut off": func(p *play) { p.links["c"].cut = true }, // it orders until its lease expires
			"stopped": func(p *play) { p.elector("c").Stop(context.Background()) },
			"killed":  func(p *play) { p.start("c") },
		} {
			t.Run("row "+copied+", holder "+state, func(t *testing.T) {
				t.Parallel()
				p := newPlay(onTime, "a", "b", "c")
				copies := []content{p.store.backup()}
				p.hold(t, "a", "")
				copies = append(copies, p.store.backup())
				p.hold(t, "b", "a")
				released := copies[1].position.Revision + 1
				copies = append(copies, content{table.Position{Revision: released}, nil}, p.store.backup())
				p.elector("b").Stop(context.Background())
				copies = append(copies, p.store.backup())
				copies[2].rows = copies[1].rows
				p.start("b")
				p.hold(t, "c", "")
				p.run(450 * time.Millisecond)
				p.store.restore(copies[at])
				p.start("a")
				disturb(p)
				p.run(300 * time.Millisecond)
				p.freeze("c", false)
				p.run(1500 * time.Millisecond)
				p.check(t)
				if end := p.orders[len(p.orders)-1]; (state == "renews") != (end.host == "c" && end.fence < epochFloor(2)) {
					t.Errorf("the last order was one of %s with token %d", end.host, end.fence)
				}
			})
		}
	}
}

// Guards against the same in any order of drills with copies of any age, in series, beside hosts
// that are killed, frozen, stopped and cut off, and writes that are performed late.
func TestHoldersAfterRestoresSoak(t *testing.T) {
	for i := range *restoreSeeds {
		seed := *restoreSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			hosts, random := []string{"a", "b", "c", "d"}, rand.New(rand.NewPCG(seed, 53))
			p := newPlay(func(i uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, i)) }, hosts...)
			ended := make(chan struct{})
			go func() { defer close(ended); p.run(9 * time.Second) }()
			copies := []content{p.store.backup()}
			for end := time.Now().Add(7 * time.Second); time.Now().Before(end); {
				for range 1 + random.IntN(15) {
					time.Sleep(25 * time.Millisecond)
					copies = append(copies, p.store.backup())
				}
				p.disturb(random, hosts[random.IntN(len(hosts))], copies)
			}
			<-ended
			p.check(t)
		})
	}
}

// disturb does something to a host or to the store.
func (p *play) disturb(random *rand.Rand, host string, copies []content) {
	lasts := time.Duration(random.IntN(450)) * time.Millisecond
	switch random.IntN(6) {
	case 0, 1:
		p.store.update(func(m *memoryTable) { m.refuse = true })
		time.Sleep(lasts / 2)
		p.store.restore(copies[max(0, len(copies)-1-random.IntN(30))])
		p.store.update(func(m *memoryTable) { m.refuse = false })
	case 2:
		p.start(host)
	case 3:
		p.freeze(host, true)
		time.AfterFunc(lasts, func() { p.freeze(host, false) })
	case 4:
		p.elector(host).Stop(context.Background())
		p.start(host)
	default:
		set := func(cut bool) {
			p.links[host].mu.Lock()
			defer p.links[host].mu.Unlock()
			p.links[host].cut = cut
		}
		set(true)
		time.AfterFunc(lasts, func() { set(false) })
	}
}

// Guards against a late write of the generation before that finds the revision it expects, which
// the table service has assigned again, and replaces the row of the new holder.
func TestLateWriteOfTheGenerationBefore(t *testing.T) {
	p := newPlay(onTime, "a", "b")
	p.hold(t, "a", "")
	copied := p.store.backup()
	for range 5 {
		p.elector("a").renew(context.Background())
	}
	late := p.elector("a").snapshot.writes([]byte(`{"holder":"a","epoch":1000001}`))
	p.store.restore(copied)
	p.hold(t, "b", "")
	for p.store.position.Revision < late[0].Expected {
		p.elector("b").renew(context.Background())
	}
	if _, err := p.store.Commit(context.Background(), Table, late...); err == nil {
		t.Errorf("the late write replaced the row: %+v", p.store.record(t))
	}
}

// Guards against a host that believes to hold the lease although its claim was performed in the
// next generation, where another host may hold it.
func TestClaimPerformedInTheNextGeneration(t *testing.T) {
	p := newPlay(onTime, "a", "b")
	p.hold(t, "a", "")
	p.elector("a").Stop(context.Background())
	copied := p.store.backup()
	p.store.beforeCommit = func(m *memoryTable) { m.replace(copied) }
	if p.elector("b").poll(context.Background()); p.elector("b").Held() {
		t.Error("the claim counts")
	}
}

// Guards against hosts that take the lease from a holder of the version before, which writes no
// marker, and against fencing tokens that fall when it takes the lease from them.
func TestHolderOfTheVersionBefore(t *testing.T) {
	p := newPlay(onTime, "a")
	earlier := func(epoch int64) {
		value, _ := json.Marshal(Record{Holder: "old", Epoch: epoch, Renewal: rand.Int64()}) // a record can be encoded
		if _, err := p.store.Commit(context.Background(), Table, table.Write{Key: Key, Expected: p.store.rows[Key].Revision, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	for range 15 {
		earlier(7)
		p.run(25 * time.Millisecond)
	}
	if p.elector("a").Held() {
		t.Fatal("the lease was taken from a holder that renews it")
	}
	p.hold(t, "a", "")
	first := p.store.record(t).Epoch
	earlier(first + 1)
	p.elector("a").renew(context.Background())
	p.hold(t, "a", "")
	if last := p.store.record(t).Epoch; last <= first+1 || first <= epochFloor(1) {
		t.Errorf("epochs %d, %d, %d", first, first+1, last)
	}
}
