package coordinator

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/table"
)

// largeReply returns a reply with the maximum number of rows of one exchange.
func largeReply() *ExchangeReply {
	update := table.Update{Position: table.Position{Revision: 400}}
	for i := range int64(256) {
		value := fmt.Sprintf(`{"service":"llm","address":"10.2.64.%d:8443","zone":"z1","state":"draining","slots":16,"models":[{"name":"m%d"}]}`, i, i%40)
		update.Rows = append(update.Rows, table.Row{Key: fmt.Sprintf("i-%010x", i), Value: []byte(value), Revision: 100 + i})
	}
	return &ExchangeReply{Holder: true, Epoch: 3, Tables: map[string]table.Update{"upstreams": update}}
}

func TestEncodingRoundTrip(t *testing.T) {
	for _, reply := range []*ExchangeReply{{Holder: true, Hosts: 8}, largeReply()} {
		data, err := encoding{}.Marshal(reply)
		if err != nil {
			t.Fatal(err)
		}
		var decoded ExchangeReply
		if err := (encoding{}).Unmarshal(data, &decoded); err != nil || !reflect.DeepEqual(*reply, decoded) {
			t.Errorf("%d bytes: %v, %+v", len(data), err, decoded)
		}
		if err := (encoding{}).Unmarshal(data[:len(data)-3], &decoded); err == nil {
			t.Error("truncated message accepted")
		}
	}
}

// When 450 of 3,000 engines were removed, 300 hosts each received their entries, which
// saturated the coordinator's network link for seconds.
func TestLargeMessagesAreCompressed(t *testing.T) {
	const maxBytes = 12 << 10 // 1% of what 10 Mbit/s transfer per second
	data, err := encoding{}.Marshal(largeReply())
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxBytes {
		t.Errorf("256 entries encode to %d bytes", len(data))
	}
}

func TestMessagesAreBounded(t *testing.T) {
	data, err := deflate(bytes.Repeat([]byte(" "), maxMessageBytes+10))
	if err != nil {
		t.Fatal(err)
	}
	var reply ExchangeReply
	var tooLarge *MessageTooLargeError
	if err := (encoding{}).Unmarshal(data, &reply); !errors.As(err, &tooLarge) {
		t.Errorf("error %v", err)
	}
}
