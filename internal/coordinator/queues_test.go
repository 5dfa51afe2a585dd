package coordinator

import (
	"testing"
	"time"
)

// Guards against hosts that are told their own requests as those of others, against counts
// that stay after their host has gone, and against news of queues without contention.
func TestQueuesOfOtherHosts(t *testing.T) {
	tracker := newQueueTracker()
	key := ModelKey{Service: "llm", Model: "m"}
	now := time.Hour
	for host, count := range map[string]int{"a": 2, "b": 5} {
		tracker.record(now, &ExchangeRequest{
			Host: host, Queued: []QueuedCount{{ModelKey: key, Count: count}},
			Kinds: []KindCount{{Service: "llm", Priority: 1, ObjectiveMS: 800, Served: float64(count), Refused: 1}},
		})
	}
	told := func(host string) *ExchangeReply {
		tracker.expire(now)
		reply := &ExchangeReply{}
		tracker.reply(now, map[ModelKey]*modelRate{}, host, reply)
		return reply
	}
	reply := told("a")
	if len(reply.Queued) != 1 || reply.Queued[0].Waiting != 5 || len(reply.Kinds) != 1 || reply.Kinds[0].Served != 5 || reply.Kinds[0].Refused != 1 {
		t.Errorf("a is told %+v", reply)
	}
	if reply := told("c"); reply.Queued[0].Waiting != 7 || reply.Kinds[0].Refused != 2 {
		t.Errorf("c is told %+v", reply)
	}
	now += hostReportTTL / 2
	tracker.record(now, &ExchangeRequest{Host: "a", Queued: []QueuedCount{{ModelKey: key}}})
	now += hostReportTTL/2 + 1
	if reply := told("c"); len(reply.Queued) != 1 || reply.Queued[0].Waiting != 0 || len(reply.Kinds) != 1 || reply.Kinds[0].Served != 0 {
		t.Errorf("after b has gone, c is told %+v", reply)
	}
	now += contendedTTL
	if reply := told("c"); len(reply.Queued)+len(reply.Kinds) != 0 {
		t.Errorf("without contention, c is told %+v", reply)
	}
}
