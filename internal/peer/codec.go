package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageBytes is the size limit for a message from a peer.
const MaxMessageBytes = 4 << 20

// MessageTooLargeError reports a message of more than MaxMessageBytes. Its connection
// is closed.
type MessageTooLargeError struct {
	Bytes uint64
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("peer message of %d bytes exceeds %d", e.Bytes, MaxMessageBytes)
}

// codec is the length-prefixed JSON codec of jsonrpc2 with a size limit for the
// messages that are read.
type codec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > MaxMessageBytes {
		return &MessageTooLargeError{Bytes: length}
	}
	var body bytes.Buffer
	body.Grow(int(min(length, readAheadBytes)) + bytes.MinRead)
	if _, err := io.CopyN(&body, stream, int64(length)); err != nil {
		return err
	}
	return json.Unmarshal(body.Bytes(), v)
}

// readAheadBytes is the memory for a message of which nothing has come yet. Usual ones have less; a larger one takes memory as it comes.
const readAheadBytes = 64 << 10
