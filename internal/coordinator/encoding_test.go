package coordinator

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/table"
)

// largeReply relays as many rows as one exchange may.
func largeReply() *ExchangeReply {
	update := table.Update{Revision: 400}
	for i := range int64(256) {
		value := fmt.Sprintf(`{"service":"llm","address":"10.2.64.%d:8443","zone":"z1","state":"draining","slots":16,"models":[{"name":"m%d"}]}`, i, i%40)
		update.Rows = append(update.Rows, table.Row{Key: fmt.Sprintf("i-%010x", i), Value: []byte(value), Revision: 100 + i})
	}
	return &ExchangeReply{Holder: true, Epoch: 3, Tables: map[string]table.Update{"upstreams": update}}
}

func TestMessagesSurviveTheirEncoding(t *testing.T) {
	for _, reply := range []*ExchangeReply{{Holder: true, Hosts: 8}, largeReply()} {
		data, err := encoding{}.Marshal(reply)
		if err != nil {
			t.Fatal(err)
		}
		var back ExchangeReply
		if err := (encoding{}).Unmarshal(data, &back); err != nil || !reflect.DeepEqual(*reply, back) {
			t.Errorf("%d bytes: %v, %+v", len(data), err, back)
		}
		if err := (encoding{}).Unmarshal(data[:len(data)-3], &back); err == nil {
			t.Error("a cut message is accepted")
		}
	}
}

// When 450 of 3,000 engines left, 300 hosts were each sent their entries: the
// coordinator's link was full for seconds (sweep of tokachi-seedvault-grown).
func TestLargeMessagesAreCompressed(t *testing.T) {
	const mostBytes = 12 << 10 // a hundredth of what 10 Mbit/s carry in a second
	data, err := encoding{}.Marshal(largeReply())
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > mostBytes {
		t.Errorf("256 entries take %d bytes", len(data))
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
