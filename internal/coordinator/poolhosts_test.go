package coordinator

import (
	"testing"
	"time"
)

func TestStewards(t *testing.T) {
	book := newDemandBook()
	hosts := []ExchangeRequest{
		{Host: "coordinator", DataCenter: "z1", Address: "0:1", Large: true},
		{Host: "small", DataCenter: "z1", Address: "1:1"},
		{Host: "large", DataCenter: "z2", Address: "2:1", Large: true},
		{Host: "other", DataCenter: "z2", Address: "3:1"},
		{Host: "old", DataCenter: "z3"}, // it does not say where it listens
	}
	for i := range hosts {
		book.note(time.Second, &hosts[i])
	}
	stewards := book.stewards("coordinator")
	if len(stewards) != 2 || stewards[0].Address != "2:1" || stewards[1].Address != "1:1" {
		t.Fatalf("stewards %+v, want the large host and the one of z1", stewards)
	}
	book.forget(time.Second + hostSilence + time.Millisecond)
	if got := book.stewards("coordinator"); len(got) != 0 {
		t.Errorf("silent hosts are stewards: %+v", got)
	}
}
