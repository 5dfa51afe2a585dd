package clock

import (
	"context"
	"time"
)

// Sleep waits until d has passed or the context ends. It reports whether d has
// passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
