package coordinator

import (
	"reflect"
	"time"
)

// maxRemovals is the number of removed engines that a viewLog keeps.
const maxRemovals = 256

// viewLog assigns version numbers to changes of engine views, so that hosts receive only
// the changes they lack. It is not safe for concurrent use.
type viewLog struct {
	version     int64
	refreshed   time.Duration // when changes were last collected
	engines     map[string]versionedView
	removals    []removal
	droppedUpTo int64 // removals up to this version have been dropped
}

type versionedView struct {
	view    EngineView
	version int64
}

type removal struct {
	id      string
	version int64
}

func newViewLog() viewLog { return viewLog{engines: map[string]versionedView{}} }

func (l *viewLog) remove(id string) {
	if _, ok := l.engines[id]; !ok {
		return
	}
	delete(l.engines, id)
	l.version++
	l.removals = append(l.removals, removal{id, l.version})
	if len(l.removals) > maxRemovals {
		l.droppedUpTo = l.removals[0].version
		l.removals = l.removals[1:]
	}
}

// refresh records the engines that changed. An engine that was never recorded and equals
// its upstream entry is skipped, because hosts have the entries.
func (l *viewLog) refresh(now time.Duration, fleet map[string]*engineState) {
	if now-l.refreshed < viewInterval {
		return
	}
	l.refreshed = now
	for id, engine := range fleet {
		if !engine.changed {
			continue
		}
		engine.changed = false
		view := engine.view()
		last, recorded := l.engines[id]
		if recorded && reflect.DeepEqual(last.view, view) || !recorded && engine.matchesEntry(view) {
			continue
		}
		l.version++
		l.engines[id] = versionedView{view, l.version}
	}
}

// since returns the changes after the version that a host has, or nil if there are none.
// known reports whether the version is one of this log.
func (l *viewLog) since(known bool, version int64) *View {
	full := !known || version < l.droppedUpTo || version > l.version
	if !full && version == l.version {
		return nil
	}
	view := &View{Version: l.version, Full: full}
	for _, engine := range l.engines {
		if full || engine.version > version {
			view.Engines = append(view.Engines, engine.view)
		}
	}
	for _, removed := range l.removals {
		if !full && removed.version > version {
			view.Removed = append(view.Removed, removed.id)
		}
	}
	return view
}
