package quarantine

import (
	"sync"
	"time"
)

const (
	// maxAnswers bounds the keys of one generation of answers.
	maxAnswers = 8192
	// generationTime is the time after which a generation of answers is followed by the next.
	generationTime = crashRetention / 2
)

// Answers remembers which keys were answered at this host, for at least generationTime, or
// until maxAnswers others were answered.
// It is safe for concurrent use.
type Answers struct {
	mu                sync.Mutex
	current, previous map[Key]time.Duration // time of the latest answer
	rotatedAt         time.Duration
}

// Record records that requests with these keys were answered.
func (a *Answers) Record(now time.Duration, keys ...Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || now-a.rotatedAt > generationTime || len(a.current) >= maxAnswers {
		a.current, a.previous, a.rotatedAt = map[Key]time.Duration{}, a.current, now
	}
	for _, key := range keys {
		a.current[key] = now
	}
}

// Lately reports whether a key was answered within answerWindow.
func (a *Answers) Lately(now time.Duration, key Key) bool {
	at, ok := a.At(key)
	return ok && now-at <= answerWindow
}

// At returns when a key was answered last.
func (a *Answers) At(key Key) (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok = a.current[key]; ok {
		return at, true
	}
	at, ok = a.previous[key]
	return at, ok
}
