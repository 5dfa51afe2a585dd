package tests

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// configModel is a fake platform, the stores of several hosts, and what operators
// know of their submissions.
type configModel struct {
	platform            *standin.Server
	address             string
	stores              []*configstore.Store
	maxReplicas         map[string]int    // max_replicas set by each submission ID
	versionBySubmission map[string]uint64 // version returned for each submission ID
	submissionByVersion map[uint64]string // submission ID of each returned version
}

// Guards against a submission that is applied twice, is lost after it was returned as
// successful, or is applied to another base than its own, in any sequence of
// submissions, retries, lost responses, restarts and outages at several hosts.
func TestSubmissionsAreLinear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newConfigModel(t)
		defer m.platform.SetFaults(standin.Faults{})
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"faults":  m.setFaults,
			"restart": m.restart,
			"":        m.check,
		})
	})
}

func newConfigModel(t *rapid.T) *configModel {
	m := &configModel{platform: standin.New(1), maxReplicas: map[string]int{}, versionBySubmission: map[string]uint64{}, submissionByVersion: map[uint64]string{}}
	server := httptest.NewServer(m.platform)
	t.Cleanup(server.Close)
	m.address = strings.TrimPrefix(server.URL, "http://")
	m.stores = []*configstore.Store{m.newStore(), m.newStore()}
	if err := m.stores[0].Bootstrap(t.Context(), configtest.Document()); err != nil {
		t.Fatal(err)
	}
	return m
}

func (m *configModel) newStore() *configstore.Store {
	client := platform.NewClient(m.address)
	return configstore.NewStore(configstore.StoreOptions{Table: client, Objects: client})
}

// submit sends a new submission or retries one, against the head or the version
// before it.
func (m *configModel) submit(t *rapid.T) {
	id := fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "id"))
	if _, sent := m.maxReplicas[id]; !sent {
		m.maxReplicas[id] = len(m.maxReplicas) + 3
	}
	newest := uint64(len(m.platform.Rows("config/versions/")) - 1)
	base := newest - min(newest, rapid.Uint64Range(0, 1).Draw(t, "behind"))
	store := m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(t, "host")]
	version, err := store.Submit(t.Context(), configstore.Submission{
		BaseVersion: base, Author: "alice", SubmissionID: id,
		Patch: fmt.Appendf(nil, `[{"op":"replace","path":"/models/m1/max_replicas","value":%d}]`, m.maxReplicas[id]),
	})
	var conflict *configstore.ConflictError
	var unknown *configstore.UnknownOutcomeError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		m.recordAccepted(t, id, version.Number)
	case errors.As(err, &conflict) && conflict.Current == conflict.Base:
		t.Fatalf("conflict although the base is the head: %v", err)
	case !errors.As(err, &conflict) && !errors.As(err, &unknown) && !errors.As(err, &unavailable):
		t.Fatal(err)
	}
}

// recordAccepted records the version of a submission, as returned by Submit or read
// from the platform. It fails the test if another version was recorded for the
// submission, or the version for another submission.
func (m *configModel) recordAccepted(t *rapid.T, id string, number uint64) {
	if earlier, ok := m.versionBySubmission[id]; ok && earlier != number {
		t.Fatalf("submission %s was returned as versions %d and %d", id, earlier, number)
	}
	if other, ok := m.submissionByVersion[number]; ok && other != id {
		t.Fatalf("version %d was returned for submissions %s and %s", number, other, id)
	}
	m.versionBySubmission[id], m.submissionByVersion[number] = number, id
}

func (m *configModel) setFaults(t *rapid.T) {
	m.platform.SetFaults(standin.Faults{
		Down:              rapid.IntRange(0, 9).Draw(t, "down") == 0,
		DropResponseRatio: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lost"),
	})
}

// restart replaces a host's store by a new one with an empty cache.
func (m *configModel) restart(t *rapid.T) {
	m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(t, "host")] = m.newStore()
}

// check loads the configuration from the platform and compares its versions with
// those returned for submissions.
func (m *configModel) check(t *rapid.T) {
	faults := m.platform.Faults()
	m.platform.SetFaults(standin.Faults{})
	defer m.platform.SetFaults(faults)
	store := m.newStore()
	head, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	versions, err := store.Versions(t.Context(), 0, 0)
	if err != nil || uint64(len(versions)) != head.Version {
		t.Fatalf("%d versions before head %d, error %v", len(versions), head.Version, err)
	}
	seen := map[string]bool{}
	for i, version := range versions {
		if version.Number != uint64(i+1) || seen[version.SubmissionID] {
			t.Fatalf("version %d of submission %s, want version %d of a new submission", version.Number, version.SubmissionID, i+1)
		}
		seen[version.SubmissionID] = true
		m.recordAccepted(t, version.SubmissionID, version.Number)
	}
	m.checkHead(t, head, versions)
}

func (m *configModel) checkHead(t *rapid.T, head *config.Snapshot, versions []configstore.Version) {
	if len(versions) == 0 {
		return
	}
	last := versions[len(versions)-1]
	if want := m.maxReplicas[last.SubmissionID]; head.Document.Models["m1"].MaxReplicas != want || head.Hash != last.Hash {
		t.Fatalf("head %d has max_replicas %d, want %d", head.Version, head.Document.Models["m1"].MaxReplicas, want)
	}
}
