package engine

import (
	"context"
	"slices"
	"sync"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// scheduler admits requests to the running batch: interactive requests before
// requests of batch priority, first in, first out within a priority.
type scheduler struct {
	mu          sync.Mutex
	free        int
	interactive []chan struct{}
	batch       []chan struct{}
}

func newScheduler(slots int) *scheduler { return &scheduler{free: slots} }

// acquire waits for a slot in the running batch. It returns the cause of the
// context's end.
func (s *scheduler) acquire(ctx context.Context, priority string) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	queue := &s.interactive
	if priority == config.PriorityBatch {
		queue = &s.batch
	}
	granted := make(chan struct{})
	*queue = append(*queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.abandon(queue, granted)
		return context.Cause(ctx)
	}
}

// abandon removes a waiting request from its queue, or passes on the slot that
// it was granted in the meantime.
func (s *scheduler) abandon(queue *[]chan struct{}, granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(*queue, granted); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
		return
	}
	s.grantNext()
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

// grantNext grants a free slot to the next waiting request. It requires s.mu.
func (s *scheduler) grantNext() {
	for _, queue := range []*[]chan struct{}{&s.interactive, &s.batch} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = slices.Delete(*queue, 0, 1)
			return
		}
	}
	s.free++
}

func (s *scheduler) depth() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.interactive) + len(s.batch)
}
