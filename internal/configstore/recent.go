package configstore

import "time"

const (
	// maxRecentVersions and maxRecentBytes bound the deltas kept for peers. At 43,000
	// changes per day, 1024 versions cover 34 minutes.
	maxRecentVersions = 1024
	maxRecentBytes    = 1 << 20
)

// recentDeltas holds the newest deltas, in ascending order and without gaps.
type recentDeltas struct {
	versions []Version
	bytes    int
}

func (r *recentDeltas) push(version Version) {
	r.versions = append(r.versions, version)
	r.bytes += len(version.Patch)
	for len(r.versions) > maxRecentVersions || r.bytes > maxRecentBytes && len(r.versions) > 1 {
		r.bytes -= len(r.versions[0].Patch)
		r.versions[0] = Version{} // releases the patch
		r.versions = r.versions[1:]
	}
}

// reset removes all deltas. It must be called when versions were skipped.
func (r *recentDeltas) reset() { *r = recentDeltas{} }

// since returns the deltas from a version to the newest one, which must be current.
// It returns false if the deltas do not go back that far.
func (r *recentDeltas) since(version, current uint64) ([]Version, bool) {
	if version >= current {
		return nil, true
	}
	missing := current - version
	if missing > uint64(len(r.versions)) {
		return nil, false
	}
	return append([]Version(nil), r.versions[uint64(len(r.versions))-missing:]...), true
}

// appliedVersion is a version and the time at which this host applied it.
type appliedVersion struct {
	version   uint64
	appliedAt time.Time
}

// appliedVersions records when this host applied versions, newest last. It keeps
// maxRecentVersions entries.
type appliedVersions struct{ list []appliedVersion }

func (p *appliedVersions) push(version uint64, at time.Time) {
	p.list = append(p.list, appliedVersion{version: version, appliedAt: at})
	if len(p.list) > maxRecentVersions {
		p.list = p.list[1:]
	}
}

// appliedAt returns the time at which the first version not below the given one was
// applied. That version includes the changes of the given one.
func (p *appliedVersions) appliedAt(version uint64) (time.Time, bool) {
	for i, entry := range p.list {
		if entry.version < version {
			continue
		}
		if i == 0 && entry.version != version {
			return time.Time{}, false // it may have been applied before the first entry
		}
		return entry.appliedAt, true
	}
	return time.Time{}, false
}
