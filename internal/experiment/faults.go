package experiment

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// disturber carries out the faults of a scenario.
type disturber struct {
	fleet        *fleet.Fleet
	duration     time.Duration
	replacements []time.Duration // until ready, of the hosts replaced
	errors       []error
}

// run carries out all faults and returns when the last one has ended, or when
// the context ends.
func (d *disturber) run(ctx context.Context, start time.Time, faults []Fault) {
	var wait conc.WaitGroup
	for _, fault := range faults {
		if fault.Kind == FaultReplaceHosts {
			wait.Go(func() { d.replaceHosts(ctx, start, fault) })
			continue
		}
		wait.Go(func() {
			if !waitUntil(ctx, start.Add(milliseconds(fault.AtMS))) {
				return
			}
			d.begin(fault)
			if fault.ForMS > 0 {
				waitUntil(ctx, start.Add(milliseconds(fault.AtMS+fault.ForMS)))
				d.end(fault)
			}
		})
	}
	wait.Wait()
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *disturber) begin(fault Fault) {
	switch fault.Kind {
	case FaultPlatformDown:
		d.fleet.SetPlatformFaults(platform.Faults{Down: true})
	case FaultPlatformHang:
		d.fleet.SetPlatformFaults(platform.Faults{Hang: true})
	case FaultPlatformSlow:
		d.fleet.SetPlatformFaults(platform.Faults{LatencyMS: int(fault.Factor)})
	case FaultDroppedResponses:
		d.fleet.SetPlatformFaults(platform.Faults{LoseAnswerRatio: fault.Factor})
	case FaultDataCenterPartition:
		d.fleet.CutDataCenter(fault.DataCenter, true)
	case FaultWeightStoreSlow:
		d.fleet.Store.SetSlowdown(fault.Factor)
	case FaultEngineCrash:
		d.fleet.Engines[fault.Index].Crash()
	case FaultEngineFreeze:
		d.fleet.Engines[fault.Index].FreezeOpen()
	}
}

func (d *disturber) end(fault Fault) {
	switch fault.Kind {
	case FaultPlatformDown, FaultPlatformHang, FaultPlatformSlow, FaultDroppedResponses:
		d.fleet.SetPlatformFaults(platform.Faults{})
	case FaultDataCenterPartition:
		d.fleet.CutDataCenter(fault.DataCenter, false)
	case FaultWeightStoreSlow:
		d.fleet.Store.SetSlowdown(1)
	}
}

// replaceHosts replaces every host once, at even distances in time.
func (d *disturber) replaceHosts(ctx context.Context, start time.Time, fault Fault) {
	hosts := len(d.fleet.Deployment.HostNames)
	length := milliseconds(fault.ForMS)
	if length == 0 {
		length = d.duration - milliseconds(fault.AtMS)
	}
	for i := range hosts {
		at := milliseconds(fault.AtMS) + length*time.Duration(i)/time.Duration(hosts)
		if !waitUntil(ctx, start.Add(at)) {
			return
		}
		took, err := d.fleet.ReplaceHost(ctx, i)
		if err != nil {
			d.errors = append(d.errors, err)
			return
		}
		d.replacements = append(d.replacements, took)
	}
}
