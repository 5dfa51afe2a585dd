package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// refusalUnknown is the refusal reason for an order of an unknown kind.
const refusalUnknown = "unknown"

func (b *boot) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", b.inference)
	router.POST("/v1/completions", b.inference)
	router.POST("/control/orders", b.control(b.order))
	router.POST("/control/cancel", b.control(b.cancelRun))
	router.GET("/control/report", b.control(b.report))
	router.GET("/control/cache-events", b.control(b.cacheEvents))
	router.GET("/sim/record", b.simRecord)
	router.GET("/sim/weight-store", b.simWeightStore)
	router.GET("/sim/faults", b.simFaults)
	router.PUT("/sim/faults", b.simPutFaults)
	return router
}

// control wraps a handler of a control call: it records the request and applies
// the HangControl fault.
func (b *boot) control(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		b.engine.recorder.capturedValues.Record(r)
		if b.engine.Faults().HangControl {
			<-r.Context().Done()
			return
		}
		next(w, r, p)
	}
}

func (b *boot) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		upstream.WriteJSON(w, http.StatusBadRequest, engine.OrderRefusal{Reason: err.Error()})
		return
	}
	faults := b.engine.Faults()
	if sleep(b.Ctx, time.Duration(faults.OrderDelayMS)*time.Millisecond) != nil {
		panic(http.ErrAbortHandler)
	}
	reason, fence := b.execute(order)
	b.engine.recorder.order(OrderRecord{
		At: time.Now(), BootID: b.ID, Order: order, Accepted: reason == "", Reason: reason,
	})
	if faults.DropOrderResponses {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		upstream.WriteJSON(w, http.StatusConflict, engine.OrderRefusal{Reason: reason, Fence: fence})
		return
	}
	upstream.WriteJSON(w, http.StatusAccepted, struct{}{})
}

// execute executes an order and returns the refusal reason, if any, and the
// highest fence received. Loads continue after it returns.
func (b *boot) execute(order engine.Order) (reason string, fence uint64) {
	fence, current := b.memory.admitFence(order.Fence, b.engine.options.ChecksFence)
	if !current {
		return engine.RefusalStaleFence, fence
	}
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		if b.engine.Faults().Draining {
			return engine.RefusalDraining, fence
		}
		return b.load(order), fence
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		b.memory.unload(order, b.engine.options.UnloadTime)
		if order.Kind == engine.OrderUnload {
			b.cache.evictModel(order.Model)
			b.engine.weightCache.addUnloaded(order.Model)
		}
		return "", fence
	default:
		return refusalUnknown, fence
	}
}

func (b *boot) load(order engine.Order) (reason string) {
	if order.Kind == engine.OrderLoad {
		order.Adapter = ""
	}
	ctx, cancel := context.WithCancel(b.Ctx)
	source := b.engine.weightCache.source(order.Model)
	if order.Adapter != "" {
		source = SourceRemote
	}
	entry, reason := b.memory.reserve(order, source, cancel)
	if entry == nil {
		cancel()
		return reason
	}
	go b.finishLoad(ctx, entry, source)
	return ""
}

func (b *boot) finishLoad(ctx context.Context, entry *resident, source string) {
	var err error
	if entry.Adapter != "" {
		err = b.loadAdapter(ctx, entry.Model)
	} else {
		err = b.engine.weightCache.load(ctx, source, entry.Model, entry.Bytes)
	}
	if err == nil {
		b.memory.loaded(entry)
	}
}

// loadAdapter waits until the base model is loaded and then loads the adapter.
func (b *boot) loadAdapter(ctx context.Context, model string) error {
	for !b.memory.baseModelLoaded(model) {
		if err := sleep(ctx, progressStep); err != nil {
			return err
		}
	}
	return b.engine.weightCache.loadAdapter(ctx)
}

func (b *boot) cancelRun(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request engine.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		upstream.WriteJSON(w, http.StatusBadRequest, engine.OrderRefusal{Reason: err.Error()})
		return
	}
	b.runs.cancel(request.RequestID)
	upstream.WriteJSON(w, http.StatusOK, struct{}{})
}

// reportCache holds the report served until it is older than Options.ReportInterval.
type reportCache struct {
	mu     sync.Mutex
	at     time.Time
	report engine.Report
}

func (b *boot) report(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c := &b.reports
	c.mu.Lock()
	if interval := b.engine.options.ReportInterval; interval <= 0 || time.Since(c.at) >= interval {
		c.at = time.Now()
		c.report = b.currentReport()
	}
	report := c.report
	c.mu.Unlock()
	upstream.WriteJSON(w, http.StatusOK, report)
}

func (b *boot) currentReport() engine.Report {
	residents, used := b.memory.report()
	hostMemory, disk := b.engine.weightCache.snapshot()
	return engine.Report{
		BootID:          b.ID,
		TimeMS:          time.Now().UnixMilli(),
		MemoryBytes:     b.engine.options.MemoryBytes,
		MemoryUsedBytes: used,
		Resident:        residents,
		HostMemory:      hostMemory,
		Disk:            disk,
		Running:         b.runs.report(),
		QueueDepth:      b.scheduler.depth(),
		Draining:        b.engine.Faults().Draining,
		ChecksFence:     b.engine.options.ChecksFence,
		MaxBatch:        b.engine.options.MaxBatch,
	}
}

func (b *boot) cacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	upstream.WriteJSON(w, http.StatusOK, b.cache.after(after))
}

func (b *boot) simRecord(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	upstream.WriteJSON(w, http.StatusOK, b.engine.Record())
}

func (b *boot) simWeightStore(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if b.engine.options.Store == nil {
		upstream.WriteJSON(w, http.StatusOK, WeightStoreRecord{})
		return
	}
	upstream.WriteJSON(w, http.StatusOK, b.engine.options.Store.Record())
}

func (b *boot) simFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	upstream.WriteJSON(w, http.StatusOK, b.engine.Faults())
}

func (b *boot) simPutFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		upstream.WriteJSON(w, http.StatusBadRequest, engine.OrderRefusal{Reason: err.Error()})
		return
	}
	b.engine.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
