package coordinator

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"storj.io/drpc"
)

const (
	// minCompressBytes is the size from which a message is compressed. Traffic between data
	// centres is expensive; shorter messages than this hardly shrink.
	minCompressBytes = 300
	// compressedMarker is the first byte of a compressed message; uncompressed messages
	// start with a brace.
	compressedMarker = 0x01
	// maxMessageBytes limits the size of a message after decompression.
	maxMessageBytes = 64 << 20
)

// encoding encodes messages between hosts as JSON and compresses large ones.
type encoding struct{}

var deflaters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // cannot happen: the level is a valid constant
	}
	return writer
}}

// MessageTooLargeError reports a message larger than maxMessageBytes.
type MessageTooLargeError struct{ Bytes int }

// Error implements error.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message exceeds %d bytes", e.Bytes)
}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	data, err := json.Marshal(message)
	if err != nil || len(data) < minCompressBytes {
		return data, err
	}
	return deflate(data)
}

func deflate(data []byte) ([]byte, error) {
	compressed := bytes.NewBuffer(make([]byte, 0, len(data)/2))
	compressed.WriteByte(compressedMarker)
	writer := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(compressed)
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Unmarshal implements drpc.Encoding. It returns a MessageTooLargeError for a message that
// exceeds maxMessageBytes when decompressed.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	if len(data) > 0 && data[0] == compressedMarker {
		inflated, err := inflate(data[1:])
		if err != nil {
			return err
		}
		data = inflated
	}
	return json.Unmarshal(data, message)
}

func inflate(data []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	inflated, err := io.ReadAll(io.LimitReader(reader, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(inflated) > maxMessageBytes {
		return nil, &MessageTooLargeError{Bytes: maxMessageBytes}
	}
	return inflated, reader.Close()
}
