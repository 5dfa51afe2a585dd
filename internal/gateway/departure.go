package gateway

import (
	"context"
	"sync"
	"time"
)

// stage is what a request does or waits for.
type stage int

// Stages of a request, in their usual order.
const (
	stageRead      stage = iota // its body is being read
	stageUnread                 // it was read; its caller may have left before
	stageAllowance              // waits for its workspace's allowance
	stageSelect                 // an upstream is selected
	stageModel                  // waits for its model
	stageAdapter                // waits for its adapter
	stageSlot                   // waits for a slot of an upstream
	stageSend                   // connects, is sent, or waits for the response header
	stageResponse               // the response is read or forwarded
)

// String returns the stage's name in logs and metrics.
func (s stage) String() string {
	return [...]string{"read", "unread", "allowance", "select", "model", "adapter", "slot", "send", "response"}[s]
}

// departure records at which stage the caller of a request left. It is safe for
// concurrent use, because the end of a context is observed in a goroutine of its own.
type departure struct {
	mu        sync.Mutex
	startedAt time.Time
	stage     stage
	sends     int

	left        bool
	leftAt      time.Time // when this host noticed that the caller had left
	leftStage   stage
	sendsAtLeft int
}

// observe begins to watch for the end of the context. The returned function ends it.
func (d *departure) observe(ctx context.Context, startedAt time.Time) (stop func() bool) {
	d.startedAt = startedAt
	return context.AfterFunc(ctx, d.record)
}

// record records that the caller has left. Only the first call has an effect.
func (d *departure) record() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left {
		return
	}
	d.left, d.leftAt, d.leftStage, d.sendsAtLeft = true, time.Now(), d.stage, d.sends
}

// enter records that the request is at a stage from now on.
func (d *departure) enter(s stage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stage = s
}

// countSend records that the request is about to be sent to an upstream.
func (d *departure) countSend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sends++
}

// report returns the log fields of a caller that left and updates the metrics. It
// returns nil for a caller that did not leave.
func (d *departure) report(now time.Time, m *metrics) []any {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.left {
		return nil
	}
	after := now.Sub(d.leftAt)
	m.callersLeft.WithLabelValues(d.leftStage.String()).Inc()
	m.afterCallerLeft.Observe(after.Seconds())
	return []any{"left_stage", d.leftStage.String(), "left_ms", d.leftAt.Sub(d.startedAt).Milliseconds(),
		"after_left_ms", after.Milliseconds(), "sends_at_left", d.sendsAtLeft}
}
