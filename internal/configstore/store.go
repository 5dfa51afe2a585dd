package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	// maxRangeRows bounds the version rows read in one request.
	maxRangeRows = 256
	// maxListedVersions bounds the result of Versions.
	maxListedVersions = 1000
)

// StoreOptions are the dependencies of a Store. Table and Objects are required.
type StoreOptions struct {
	Table      platform.Table
	Objects    platform.ObjectStore
	Clock      clock.Clock           // default: the system clock
	Logger     logr.Logger           // default: discards all logs
	Registerer prometheus.Registerer // default: metrics are not exported
}

// Store reads and commits configuration versions on the platform. It is safe for
// concurrent use.
type Store struct {
	table   platform.Table
	objects platform.ObjectStore
	clock   clock.Clock
	log     logr.Logger
	metrics *storeMetrics

	mu     sync.Mutex
	latest *config.Snapshot // newest version read or accepted so far; nil before the first
}

// NewStore returns a store of configuration versions.
func NewStore(options StoreOptions) *Store {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.Logger.GetSink() == nil {
		options.Logger = logr.Discard()
	}
	return &Store{
		table:   options.Table,
		objects: options.Objects,
		clock:   options.Clock,
		log:     options.Logger.WithName("configstore"),
		metrics: newStoreMetrics(options.Registerer),
	}
}

// Head returns the number and hash of the newest accepted version. It returns
// *NoConfigurationError if there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

func (s *Store) readHead(ctx context.Context) (Head, platform.Row, error) {
	row, err := s.table.Read(ctx, headRow)
	if err != nil {
		return Head{}, row, eris.Wrap(err, "read head")
	}
	if row.Revision == 0 {
		return Head{}, row, eris.Wrap(&NoConfigurationError{}, "read head")
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, row, eris.Wrap(&CorruptError{Name: headRow, Cause: err}, "read head")
	}
	return head, row, nil
}

// Version returns an accepted version. It returns *VersionNotFoundError if the
// version does not exist.
func (s *Store) Version(ctx context.Context, number uint64) (Version, error) {
	row, err := s.table.Read(ctx, versionRow(number))
	if err != nil {
		return Version{}, eris.Wrapf(err, "read version %d", number)
	}
	if row.Revision == 0 {
		return Version{}, eris.Wrap(&VersionNotFoundError{Number: number}, "read version")
	}
	return decodeVersion(row)
}

func decodeVersion(row platform.Row) (Version, error) {
	var version Version
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return Version{}, eris.Wrap(&CorruptError{Name: row.Key, Cause: err}, "read version")
	}
	return version, nil
}

// Versions returns up to limit accepted versions after a number, in ascending order.
// The largest limit is 1000, which also applies if limit is 0 or less.
func (s *Store) Versions(ctx context.Context, after uint64, limit int) ([]Version, error) {
	if limit <= 0 || limit > maxListedVersions {
		limit = maxListedVersions
	}
	versions := []Version{}
	for len(versions) < limit {
		batch := min(maxRangeRows, limit-len(versions))
		rows, err := s.table.Range(ctx, versionPrefix, versionRow(after), batch)
		if err != nil {
			return nil, eris.Wrap(err, "read versions")
		}
		for _, row := range rows {
			version, err := decodeVersion(row)
			if err != nil {
				return nil, err
			}
			versions = append(versions, version)
			after = version.Number
		}
		if len(rows) < batch {
			break
		}
	}
	return versions, nil
}

// Load returns the newest accepted version with its document.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.loadHead(ctx, head)
}

// loadHead returns the version of a head. It starts from the cached version if that
// is at most SnapshotInterval versions behind the head.
func (s *Store) loadHead(ctx context.Context, head Head) (*config.Snapshot, error) {
	snapshot := s.cached()
	if snapshot == nil || snapshot.Version > head.Version || head.Version-snapshot.Version > SnapshotInterval {
		return s.rebuild(ctx, head.Version)
	}
	snapshot, err := s.advance(ctx, snapshot, head.Version)
	if err != nil {
		return nil, err
	}
	s.cacheNewest(snapshot)
	return snapshot, nil
}

// SnapshotAt returns a version with its document. It returns *VersionNotFoundError if
// the version does not exist.
func (s *Store) SnapshotAt(ctx context.Context, number uint64) (*config.Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	if number > head.Version {
		return nil, eris.Wrap(&VersionNotFoundError{Number: number}, "version")
	}
	if cached := s.cached(); cached != nil && cached.Version == number {
		return cached, nil
	}
	return s.rebuild(ctx, number)
}

// rebuild builds a version from the newest usable snapshot up to it and the versions
// after that snapshot. It writes the snapshots that were missing or unusable.
func (s *Store) rebuild(ctx context.Context, number uint64) (*config.Snapshot, error) {
	snapshot, err := s.nearestSnapshot(ctx, number)
	if err != nil {
		return nil, err
	}
	missing := snapshot.Version + SnapshotInterval
	for ; missing <= number; missing += SnapshotInterval {
		if snapshot, err = s.advance(ctx, snapshot, missing); err != nil {
			return nil, err
		}
		s.writeSnapshot(ctx, snapshot)
	}
	if snapshot, err = s.advance(ctx, snapshot, number); err != nil {
		return nil, err
	}
	s.cacheNewest(snapshot)
	return snapshot, nil
}

// nearestSnapshot returns the newest readable snapshot up to a version, or version 0
// if there is none. A snapshot is missing if the host that accepted its version
// stopped before writing it.
func (s *Store) nearestSnapshot(ctx context.Context, number uint64) (*config.Snapshot, error) {
	for at := number - number%SnapshotInterval; at > 0; at -= SnapshotInterval {
		snapshot, err := s.readSnapshot(ctx, at)
		if err == nil {
			return snapshot, nil
		}
		if isUnavailable(err) {
			return nil, err
		}
		s.metrics.snapshots.WithLabelValues("missing").Inc()
		s.log.Info("Snapshot is unusable; reading an earlier one.", "version", at, "cause", err.Error())
	}
	return s.readBootstrapVersion(ctx)
}

func (s *Store) readSnapshot(ctx context.Context, number uint64) (*config.Snapshot, error) {
	name := snapshotObject(number)
	data, err := s.objects.Get(ctx, name)
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	var full FullVersion
	if err := json.Unmarshal(data, &full); err != nil {
		return nil, eris.Wrap(&CorruptError{Name: name, Cause: err}, "read snapshot")
	}
	snapshot, err := config.DecodeAccepted(number, full.Document, full.Hash)
	if err != nil {
		return nil, eris.Wrap(&CorruptError{Name: name, Cause: err}, "read snapshot")
	}
	return snapshot, nil
}

// readBootstrapVersion reads version 0, whose patch contains the full document.
func (s *Store) readBootstrapVersion(ctx context.Context) (*config.Snapshot, error) {
	version, err := s.Version(ctx, 0)
	if err != nil {
		return nil, err
	}
	return bootstrapSnapshot(version)
}

func bootstrapSnapshot(version Version) (*config.Snapshot, error) {
	var operations []bootstrapOperation
	if err := json.Unmarshal(version.Patch, &operations); err != nil || len(operations) != 1 {
		return nil, eris.Wrap(&CorruptError{Name: versionRow(0), Cause: err}, "bootstrap version")
	}
	return config.DecodeAccepted(0, operations[0].Value, version.Hash)
}

// advance reads and applies the accepted versions after a snapshot, up to a number.
func (s *Store) advance(ctx context.Context, snapshot *config.Snapshot, to uint64) (*config.Snapshot, error) {
	for snapshot.Version < to {
		versions, err := s.Versions(ctx, snapshot.Version, int(min(to-snapshot.Version, maxListedVersions)))
		if err != nil {
			return nil, err
		}
		if len(versions) == 0 {
			return nil, eris.Wrap(&VersionNotFoundError{Number: snapshot.Version + 1}, "advance")
		}
		for _, version := range versions {
			if snapshot, err = applyDelta(snapshot, version); err != nil {
				return nil, err
			}
		}
	}
	return snapshot, nil
}

// applyDelta applies a version to a snapshot. It returns *GapError if the version does
// not directly follow the snapshot.
func applyDelta(snapshot *config.Snapshot, version Version) (*config.Snapshot, error) {
	if version.Number != snapshot.Version+1 {
		return nil, eris.Wrap(&GapError{Have: snapshot.Version, Got: version.Number}, "apply")
	}
	return config.ApplyAccepted(snapshot, version.Number, version.Patch, version.Hash)
}

// writeSnapshot writes a version's document to the object store. It only logs and
// counts failures, because versions can be built without the snapshot.
func (s *Store) writeSnapshot(ctx context.Context, snapshot *config.Snapshot) {
	data, err := encodeFull(snapshot)
	if err == nil {
		err = s.objects.Put(ctx, snapshotObject(snapshot.Version), data)
	}
	if err != nil {
		s.metrics.snapshots.WithLabelValues("failed").Inc()
		s.log.Info("Failed to write snapshot.", "version", snapshot.Version, "cause", err.Error())
		return
	}
	s.metrics.snapshots.WithLabelValues("written").Inc()
}

func encodeFull(snapshot *config.Snapshot) ([]byte, error) {
	full, err := fullOf(snapshot)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(full)
	if err != nil {
		return nil, eris.Wrap(&config.EncodeError{Cause: err}, "snapshot")
	}
	return data, nil
}

func fullOf(snapshot *config.Snapshot) (*FullVersion, error) {
	document, err := snapshot.Document.Canonical()
	if err != nil {
		return nil, err
	}
	return &FullVersion{Head: Head{Version: snapshot.Version, Hash: snapshot.Hash}, Document: document}, nil
}

func (s *Store) cached() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// cacheNewest caches a version if it is newer than the cached one.
func (s *Store) cacheNewest(snapshot *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest == nil || snapshot.Version > s.latest.Version {
		s.latest = snapshot
	}
}

// isUnavailable reports whether an error is a *platform.UnavailableError.
func isUnavailable(err error) bool {
	var target *platform.UnavailableError
	return errors.As(err, &target)
}
