package server

import (
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/logsink"
)

// countingWriter counts the bytes of the log.
type countingWriter struct{ bytes int64 }

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += int64(len(data))
	return len(data), nil
}

// BenchmarkRequestLine measures the line that a host logs for each request,
// including the log queue but not the system call that writes it.
func BenchmarkRequestLine(b *testing.B) {
	var output countingWriter
	sink := logsink.New(&output)
	log := newLogger(sink, 0).WithValues("host", "front-obihiro-1")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("Request ended.", "status", 200, "reason", "", "sends", 1, "upstream", "i-371416523f",
			"took_ms", int64(1136), "first_ms", int64(44), "config_age_ms", int64(981),
			"request", "5b6f46f2d40a8ba8", "model", "sefi411a46", "adapter", "", "route", "r-wcudv3g", "config", int64(22),
			"deadline_ms", int64(14873), "workspace", "cuhu190", "cost", 1373.0, "view", int64(188))
	}
	sink.Close()
	b.ReportMetric(float64(output.bytes)/float64(b.N), "logged-B/op")
	b.ReportMetric(float64(sink.Dropped())/float64(b.N), "dropped/op")
}
