package pace

import (
	"math"
	"time"
)

const (
	// usualSamples is the number of samples over which the usual times are averaged. It is
	// large, so that the usual time of a service does not follow a single slow upstream.
	usualSamples = 200
	// minUsualSamples is the number of samples before which there is no usual time.
	minUsualSamples = 8
	// maxOutlier bounds the part of one sample in the average, relative to the usual.
	maxOutlier = 3
	// maxLoadSlope bounds how much longer than an idle upstream a full one usually takes. The
	// loads are partly unknown, so a fit may be steeper than the upstreams are.
	maxLoadSlope = 3
	// DefaultPrefillRate is the number of prompt tokens that an engine reads per millisecond,
	// as the deployments in docs/design/scope.md state it.
	DefaultPrefillRate = 25.8
)

// Prefill returns the time in which an engine of usual pace reads prompt tokens.
func Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / DefaultPrefillRate * float64(time.Millisecond))
}

// trend is the average of a time in seconds and how it grows with the load: a linear fit
// over the last samples.
type trend struct{ n, x, y, xx, xy float64 }

func (t *trend) add(load, seconds float64) {
	if usual, ok := t.at(load); ok {
		seconds = min(seconds, maxOutlier*usual)
	}
	const keep = 1 - 1.0/usualSamples
	t.n, t.x, t.y = t.n*keep+1, t.x*keep+load, t.y*keep+seconds
	t.xx, t.xy = t.xx*keep+load*load, t.xy*keep+load*seconds
}

// mean returns the usual time at the usual load; 0: not known yet.
func (t *trend) mean() float64 {
	if t.n < minUsualSamples {
		return 0
	}
	return t.y / t.n
}

// at returns the usual time at a load; false if it is not known yet.
func (t *trend) at(load float64) (seconds float64, ok bool) {
	if t.n < minUsualSamples {
		return 0, false
	}
	meanX, meanY := t.x/t.n, t.y/t.n
	slope := 0.0
	if variance := t.xx/t.n - meanX*meanX; variance > 1e-3 {
		slope = (t.xy/t.n - meanX*meanY) / variance
	}
	// The time at no load is at least meanY/(1+maxLoadSlope*meanX).
	slope = min(max(slope, 0), maxLoadSlope*meanY/(1+maxLoadSlope*meanX))
	seconds = meanY + slope*(load-meanX)
	return seconds, seconds > 0 && !math.IsInf(seconds, 0)
}

// usual holds the usual times of a service's upstreams.
type usual struct {
	first    trend // of streams: time to the first event, without the prompt's prefill
	pause    trend // of streams: time between events
	duration trend // time to the end of the response
}
