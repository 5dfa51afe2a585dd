package coordinator

import (
	"reflect"
	"time"
)

// keptRemovals is the number of removed engines that a view remembers.
const keptRemovals = 256

// viewBook numbers the changes of the engines' views, so that hosts are told
// only what they lack. It is used by one goroutine at a time.
type viewBook struct {
	version   int64
	refreshed time.Duration // when changes were last collected
	engines   map[string]numberedView
	removals  []removal
	floor     int64 // removals up to here are forgotten
}

type numberedView struct {
	view    EngineView
	version int64
}

type removal struct {
	id      string
	version int64
}

func newViewBook() viewBook { return viewBook{engines: map[string]numberedView{}} }

func (b *viewBook) remove(id string) {
	if _, ok := b.engines[id]; !ok {
		return
	}
	delete(b.engines, id)
	b.version++
	b.removals = append(b.removals, removal{id, b.version})
	if len(b.removals) > keptRemovals {
		b.floor = b.removals[0].version
		b.removals = b.removals[1:]
	}
}

// refresh takes over the engines that changed. An engine that was never told of
// and is as its entry says need not be told of: hosts have the entries.
func (b *viewBook) refresh(now time.Duration, fleet map[string]*engineState) {
	if now-b.refreshed < viewEvery {
		return
	}
	b.refreshed = now
	for id, engine := range fleet {
		if !engine.changed {
			continue
		}
		engine.changed = false
		view := engine.view()
		known, told := b.engines[id]
		if told && reflect.DeepEqual(known.view, view) || !told && engine.asEntry(view) {
			continue
		}
		b.version++
		b.engines[id] = numberedView{view, b.version}
	}
}

// since returns what a host at a version lacks, nil if nothing. Known says that
// the version is one of this book.
func (b *viewBook) since(known bool, version int64) *View {
	full := !known || version < b.floor || version > b.version
	if !full && version == b.version {
		return nil
	}
	view := &View{Version: b.version, Full: full}
	for _, engine := range b.engines {
		if full || engine.version > version {
			view.Engines = append(view.Engines, engine.view)
		}
	}
	for _, gone := range b.removals {
		if !full && gone.version > version {
			view.Removed = append(view.Removed, gone.id)
		}
	}
	return view
}
