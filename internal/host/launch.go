package host

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/settings"
)

// Running is a host that runs within this process, for tools and tests.
type Running struct {
	Host *Host
	stop context.CancelFunc
	kill sync.Once
	done chan struct{}
	err  error // of Run; valid after done is closed
}

// Launch starts a host with settings and returns at once.
func Launch(s settings.Settings, logger logr.Logger) (*Running, error) {
	options, problems := OptionsFromSettings(s)
	if len(problems) > 0 {
		return nil, &settings.FileError{File: s.Host, Problems: problems}
	}
	options.Logger = logger
	h, err := New(options)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &Running{Host: h, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		running.err = h.Run(ctx)
	}()
	return running, nil
}

// Shutdown ends the host gracefully and waits until it has ended, or until the
// context ends.
func (r *Running) Shutdown(ctx context.Context) error {
	r.stop()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill ends the host at once, cutting its connections.
func (r *Running) Kill() {
	r.kill.Do(func() { close(r.Host.killed) })
	<-r.done
}
