package gateway

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
)

// Hosts tell one another, through the coordinator, which version of the configuration they have.
// The table relays deliver it, unless the table service has lost it: then the host that has it
// passes it on.

// reportConfig adds this host's version to a request, and its content if the coordinator lacks it.
func (e *exchanger) reportConfig(request *coordinator.ExchangeRequest) {
	request.ConfigVersion = e.config.version()
	if e.configWanted.Load() {
		request.Config = e.config.missing(0)
	}
}

// exchangeConfig takes over what a host reports, as the coordinator, and adds what the host lacks
// to the reply.
func (e *exchanger) exchangeConfig(request *coordinator.ExchangeRequest, reply *coordinator.ExchangeReply) {
	if request.Generations == nil {
		return // a host of an earlier version of the program
	}
	e.config.require(request.ConfigVersion)
	if request.Config != nil {
		e.config.adopt(*request.Config)
	}
	reply.ConfigVersion = e.config.newestKnown()
	reply.ConfigWanted = request.ConfigVersion > e.config.version()
	reply.Config = e.config.missing(request.ConfigVersion)
	if e.settled() {
		reply.SettledGeneration = e.config.replica.Position().Generation
	}
}

// applyConfig applies what the coordinator says of the configuration.
func (e *exchanger) applyConfig(reply *coordinator.ExchangeReply) {
	e.config.require(reply.ConfigVersion)
	if reply.Config != nil {
		e.config.adopt(*reply.Config)
	}
	e.configWanted.Store(reply.ConfigWanted)
	if reply.SettledGeneration != 0 {
		e.config.settlement.settle(reply.SettledGeneration)
	}
}

// settled reports whether this host is a coordinator to which the hosts have reported their
// versions of the configuration.
func (e *exchanger) settled() bool {
	inOffice := clock.SinceBoot() - time.Duration(e.acquiredAt.Load())
	return e.elector.Held() && inOffice >= settleTime && e.config.complete()
}

// leaseConfig returns what the lease row says of the configuration while this host holds it.
func (e *exchanger) leaseConfig() lease.ConfigState {
	return lease.ConfigState{Version: e.config.newestKnown(), Unsettled: !e.settled()}
}

// observeLease learns from the lease row which version of the configuration is the newest. A row
// that the table service may have lost and not got back yet shows only an older one.
func (e *exchanger) observeLease(observed lease.Observation) {
	e.config.require(observed.Record.Config.Version)
	if !observed.Restored && !observed.Record.Config.Unsettled {
		e.config.settlement.settle(observed.Generation)
	}
}
