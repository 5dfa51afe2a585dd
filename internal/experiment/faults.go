package experiment

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// faultInjector injects the faults of a scenario.
type faultInjector struct {
	fleet        *fleet.Fleet
	duration     time.Duration
	restartTimes []time.Duration // of replaced hosts, until ready
	errors       []error
}

// run injects all faults. It returns when the last one has ended or when ctx is
// done.
func (d *faultInjector) run(ctx context.Context, start time.Time, faults []Fault) {
	var wait conc.WaitGroup
	for _, fault := range faults {
		if fault.Kind == FaultReplaceHosts {
			wait.Go(func() { d.replaceHosts(ctx, start, fault) })
			continue
		}
		wait.Go(func() {
			if !waitUntil(ctx, start.Add(fromMilliseconds(fault.AtMS))) {
				return
			}
			d.begin(fault)
			if fault.ForMS > 0 {
				waitUntil(ctx, start.Add(fromMilliseconds(fault.AtMS+fault.ForMS)))
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

func (d *faultInjector) begin(fault Fault) {
	switch fault.Kind {
	case FaultPlatformDown:
		d.fleet.SetPlatformFaults(platform.Faults{Down: true})
	case FaultPlatformHang:
		d.fleet.SetPlatformFaults(platform.Faults{Hang: true})
	case FaultPlatformSlow:
		d.fleet.SetPlatformFaults(platform.Faults{LatencyMS: int(fault.Factor)})
	case FaultDroppedResponses:
		d.fleet.SetPlatformFaults(platform.Faults{DropResponseRatio: fault.Factor})
	case FaultDataCenterPartition:
		d.fleet.SetDataCenterPartitioned(fault.DataCenter, true)
	case FaultWeightStoreSlow:
		d.fleet.Store.SetSlowdown(fault.Factor)
	case FaultEngineCrash:
		d.fleet.Engines[fault.Index].Crash()
	case FaultEngineFreeze:
		d.fleet.Engines[fault.Index].FreezeConnections()
	}
}

func (d *faultInjector) end(fault Fault) {
	switch fault.Kind {
	case FaultPlatformDown, FaultPlatformHang, FaultPlatformSlow, FaultDroppedResponses:
		d.fleet.SetPlatformFaults(platform.Faults{})
	case FaultDataCenterPartition:
		d.fleet.SetDataCenterPartitioned(fault.DataCenter, false)
	case FaultWeightStoreSlow:
		d.fleet.Store.SetSlowdown(1)
	}
}

// replaceHosts replaces each host once, at equal intervals.
func (d *faultInjector) replaceHosts(ctx context.Context, start time.Time, fault Fault) {
	hosts := len(d.fleet.Deployment.HostNames)
	length := fromMilliseconds(fault.ForMS)
	if length == 0 {
		length = d.duration - fromMilliseconds(fault.AtMS)
	}
	for i := range hosts {
		at := fromMilliseconds(fault.AtMS) + length*time.Duration(i)/time.Duration(hosts)
		if !waitUntil(ctx, start.Add(at)) {
			return
		}
		took, err := d.fleet.ReplaceHost(ctx, i)
		if err != nil {
			d.errors = append(d.errors, err)
			return
		}
		d.restartTimes = append(d.restartTimes, took)
	}
}
