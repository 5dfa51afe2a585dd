package host

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/settings"
)

// Running is a host that runs in this process, for tools and tests.
type Running struct {
	Host *Host
	stop context.CancelFunc
	kill sync.Once
	done chan struct{}
	err  error // result of Run; valid once done is closed
}

// Launch starts a host with the given settings and returns without waiting until it
// is ready. It returns a *settings.FileError if files named by the settings cannot
// be loaded.
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

// Shutdown shuts the host down gracefully and waits until Run has returned or the
// context ends. It returns the error of Run or of the context.
func (r *Running) Shutdown(ctx context.Context) error {
	r.stop()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill stops the host without a graceful shutdown, closing its connections, and
// waits until Run has returned.
func (r *Running) Kill() {
	r.kill.Do(func() { close(r.Host.killed) })
	<-r.done
}
