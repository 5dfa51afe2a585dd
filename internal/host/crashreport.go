package host

import (
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
	"github.com/arbutusbank/arbutusbank/internal/retry"
)

// ownsTrials reports whether this host runs the trials of a quarantined segment.
func (h *Host) ownsTrials(segment quarantine.Key) bool {
	return rendezvous.Owner("trial "+strconv.FormatUint(uint64(segment), 16), h.liveHosts().all) == h.settings.Host
}

// crashReport returns what this host tells its peers of crashes; nil: nothing.
func (h *Host) crashReport() *peerpb.CrashReport {
	report := h.suspects.Segments().Export(h.clock.Now())
	if report.Empty() {
		return nil
	}
	message := &peerpb.CrashReport{}
	for _, run := range report.Runs {
		m := &peerpb.CrashedRun{
			Id: run.ID, Upstream: run.Crash.Upstream, BootId: run.Crash.Boot, Request: uint64(run.Request), AgeMs: run.Age.Milliseconds(),
		}
		for _, segment := range run.Segments {
			m.Segments = append(m.Segments, uint64(segment))
		}
		message.Runs = append(message.Runs, m)
	}
	for _, answered := range report.Answered {
		message.Answered = append(message.Answered, &peerpb.AnsweredSegment{Segment: uint64(answered.Segment), AgeMs: answered.Age.Milliseconds()})
	}
	for _, q := range report.Quarantined {
		message.Quarantined = append(message.Quarantined, &peerpb.QuarantinedSegment{Segment: uint64(q.Segment), LeftMs: q.Left.Milliseconds()})
	}
	return message
}

// mergeCrashReport merges what another host tells of crashes.
func (h *Host) mergeCrashReport(message *peerpb.CrashReport) {
	if message == nil {
		return
	}
	var report retry.CrashReport
	for _, m := range message.GetRuns() {
		run := retry.CrashedRun{
			ID: m.GetId(), Crash: retry.Crash{Upstream: m.GetUpstream(), Boot: m.GetBootId()},
			Request: quarantine.Key(m.GetRequest()), Age: milliseconds(m.GetAgeMs()),
		}
		for _, segment := range m.GetSegments() {
			run.Segments = append(run.Segments, quarantine.Key(segment))
		}
		report.Runs = append(report.Runs, run)
	}
	for _, m := range message.GetAnswered() {
		report.Answered = append(report.Answered, retry.AnsweredSegment{Segment: quarantine.Key(m.GetSegment()), Age: milliseconds(m.GetAgeMs())})
	}
	for _, m := range message.GetQuarantined() {
		report.Quarantined = append(report.Quarantined, retry.QuarantinedSegment{Segment: quarantine.Key(m.GetSegment()), Left: milliseconds(m.GetLeftMs())})
	}
	h.suspects.Segments().Merge(h.clock.Now(), report)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// logSegmentDecisions logs which segments of prompts are refused from now on, or no longer.
func (h *Host) logSegmentDecisions() {
	for _, d := range h.suspects.Segments().TakeDecisions(h.clock.Now()) {
		h.log.Info("Quarantine decided.", "key", strconv.FormatUint(uint64(d.Key), 16), "request", d.Request, "lifted", d.Lifted, "crashes", d.Crashes)
	}
}
