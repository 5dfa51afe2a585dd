package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// Guards against a withdrawn key that is accepted while a new version is applied: a request
// combined the version before with the confirmation of the new one (review/1). The request
// asks for its snapshot at the moment at which the new version is confirmed, not in force yet.
func TestSnapshotDoesNotConfirmTheVersionBefore(t *testing.T) {
	decoding, proceed := make(chan struct{}), make(chan struct{})
	c := &configuration{log: logr.Discard()}
	c.decode = func(rows []table.Row) (*catalog.Config, error) {
		version := rows[len(rows)-1].Revision
		if version == 2 {
			close(decoding)
			<-proceed
		}
		return catalog.NewConfig(version, nil, nil, catalog.Limits{}), nil
	}
	c.replica.OnChange = c.apply
	apply := func(version int64, age time.Duration) {
		page := table.Page{Rows: []table.Row{{Key: "config", Revision: version}}, Position: table.Position{Revision: version}}
		c.replica.ApplyPage(page, true, clock.SinceBoot()-age)
	}
	apply(1, time.Minute)
	go apply(2, 0)
	<-decoding
	snapshots := make(chan configSnapshot)
	go func() { snapshots <- c.snapshot() }()
	time.Sleep(20 * time.Millisecond) // the snapshot waits for the new version
	close(proceed)
	if s := <-snapshots; s.config.Version == 1 && s.age() < 30*time.Second {
		t.Errorf("version 1 counts as confirmed %v ago; that was version 2", s.age())
	}
}
