package thwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Type is the type byte of a frame.
type Type byte

// The frame types. The numbers are part of the protocol and never reused.
const (
	TypeHello             Type = 1
	TypeUpdate            Type = 2
	TypeDelta             Type = 3
	TypeKnownVersion      Type = 4
	TypeFetch             Type = 5
	TypeBatch             Type = 6
	TypePing              Type = 7
	TypePong              Type = 8
	TypeProbe             Type = 9
	TypeProbeResult       Type = 10
	TypeStateDigest       Type = 11
	TypeSummary           Type = 12
	TypeReport            Type = 13
	TypeOpen              Type = 14
	TypeRequestBody       Type = 15 // raw: stream number and bytes of the request body
	TypeRequestEnd        Type = 16 // raw: stream number
	TypeHead              Type = 17
	TypeResponseBody      Type = 18 // raw: stream number and bytes of the response body
	TypeEnd               Type = 19
	TypeRefuse            Type = 20
	TypeCancel            Type = 21
	TypeCredit            Type = 22
	TypeGoAway            Type = 23
	TypeRecordRequest     Type = 24
	TypeConfigHeadRequest Type = 25
	TypeConfigHead        Type = 26
	TypeDeparture         Type = 27
	TypeServerLimit       Type = 28
	TypeUsageCounts       Type = 29
	TypeUsageReply        Type = 30
)

// Sizes of a frame and its parts, in bytes.
const (
	MaxFrame   = 1 << 20 // type byte and payload
	lengthSize = 4
	typeSize   = 1
	streamSize = 4
)

// Message is a message that is encoded as a msgpack payload.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
}

// AppendFrame appends a frame with a msgpack payload to b. On an error b is returned
// unchanged; it is of kind Frame if the frame is too large.
func AppendFrame(b []byte, t Type, m msgp.Marshaler) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(t))
	b, err := m.MarshalMsg(b)
	if err != nil {
		return b[:start], therror.Wrap(therror.Internal, err, "encode frame type %d", t)
	}
	return finishFrame(b, start)
}

// AppendRaw appends a frame whose payload is a stream number and raw bytes to b.
func AppendRaw(b []byte, t Type, stream uint32, data []byte) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(t))
	b = binary.BigEndian.AppendUint32(b, stream)
	b = append(b, data...)
	return finishFrame(b, start)
}

func finishFrame(b []byte, start int) ([]byte, error) {
	n := len(b) - start - lengthSize
	if n > MaxFrame {
		return b[:start], therror.New(therror.Frame, "frame of %d bytes exceeds the limit of %d", n, MaxFrame)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(n))
	return b, nil
}

// ReadFrame reads one frame. The payload is valid until the next call with the same
// buffer, which is returned and may have grown. The error is io.EOF at the end of the
// stream, and of kind Frame for a malformed frame.
func ReadFrame(r io.Reader, buffer []byte) (Type, []byte, []byte, error) {
	var head [lengthSize + typeSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, buffer, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < typeSize || n > MaxFrame {
		return 0, nil, buffer, therror.New(therror.Frame, "frame length %d is not between %d and %d", n, typeSize, MaxFrame)
	}
	size := int(n - typeSize)
	if cap(buffer) < size {
		buffer = make([]byte, size)
	}
	payload := buffer[:size]
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, buffer, err
	}
	return Type(head[lengthSize]), payload, buffer, nil
}

// readFrame is like ReadFrame, but avoids the allocation of a payload that fits into
// the buffer of r. The payload is valid until the next read.
func readFrame(r *bufio.Reader, buffer *[]byte) (Type, []byte, error) {
	head, err := r.Peek(lengthSize + typeSize)
	if err != nil {
		if len(head) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	n, t := binary.BigEndian.Uint32(head), Type(head[lengthSize])
	if n < typeSize || n > MaxFrame {
		return 0, nil, therror.New(therror.Frame, "frame length %d is not between %d and %d", n, typeSize, MaxFrame)
	}
	_, _ = r.Discard(len(head))
	size := int(n - typeSize)
	if size <= r.Size() {
		payload, err := r.Peek(size)
		if err != nil {
			return 0, nil, err
		}
		_, _ = r.Discard(size)
		return t, payload, nil
	}
	if cap(*buffer) < size {
		*buffer = make([]byte, size)
	}
	payload := (*buffer)[:size]
	_, err = io.ReadFull(r, payload)
	return t, payload, err
}

// Decode decodes a msgpack payload into m. The error is of kind Frame.
func Decode(payload []byte, m msgp.Unmarshaler) error {
	rest, err := m.UnmarshalMsg(payload)
	if err != nil {
		return therror.Wrap(therror.Frame, err, "decode %T", m)
	}
	if len(rest) > 0 {
		return therror.New(therror.Frame, "decode %T: %d bytes left over", m, len(rest))
	}
	return nil
}

// SplitRaw splits the payload of a raw frame into the stream number and the data.
func SplitRaw(payload []byte) (uint32, []byte, error) {
	if len(payload) < streamSize {
		return 0, nil, therror.New(therror.Frame, "raw frame of %d bytes has no stream number", len(payload))
	}
	return binary.BigEndian.Uint32(payload), payload[streamSize:], nil
}
