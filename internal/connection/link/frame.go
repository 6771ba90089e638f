package link

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Protocol versions that this build supports; both ends use the greatest common one.
const (
	VersionMin = 1
	VersionMax = 2
	// versionOutcomeQuery is the first version with OutcomeQuery.
	versionOutcomeQuery = 2
)

// MaxMessage is the maximum size of a WebSocket message, in bytes.
const MaxMessage = 16 << 20

// StreamID identifies a stream within its link; the entry assigns increasing numbers.
type StreamID uint64

// Kind is the type of a frame, the first byte of its encoding.
type Kind byte

// Frame is one typed message of a link.
type Frame interface {
	// Kind returns the frame's kind.
	Kind() Kind
	// Check returns an error if a field is invalid.
	Check() error
}

// Append appends the encoded frame to message; a message may contain several frames.
func Append(message []byte, frame Frame) ([]byte, error) {
	message = append(message, byte(frame.Kind()))
	body, err := cbor.Marshal(frame)
	if err != nil {
		return nil, oops.Wrapf(err, "encode frame")
	}
	return append(message, body...), nil
}

// decMode rejects CBOR features that the protocol does not use.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   8,
		MaxArrayElements:  1024,
		MaxMapPairs:       64,
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode returns the first frame of message and the bytes after it.
func Decode(message []byte) (Frame, []byte, error) {
	if len(message) == 0 {
		return nil, nil, oops.Errorf("frame: found nothing, want a kind and a body")
	}
	frame, err := newFrame(Kind(message[0]))
	if err != nil {
		return nil, nil, err
	}
	rest, err := decMode.UnmarshalFirst(message[1:], frame)
	if err != nil {
		return nil, nil, oops.Wrapf(err, "decode frame of kind %d", message[0])
	}
	if err := frame.Check(); err != nil {
		return nil, nil, err
	}
	return frame, rest, nil
}

func newFrame(kind Kind) (Frame, error) {
	switch kind {
	case KindHello:
		return new(Hello), nil
	case KindOpen:
		return new(Open), nil
	case KindAccept:
		return new(Accept), nil
	case KindDeny:
		return new(Deny), nil
	case KindHead:
		return new(Head), nil
	case KindData:
		return new(Data), nil
	case KindEnd:
		return new(End), nil
	case KindCancel:
		return new(Cancel), nil
	case KindCredit:
		return new(Credit), nil
	case KindLoad:
		return new(LoadReport), nil
	case KindAcknowledgment:
		return new(Acknowledgment), nil
	case KindOutcomeQuery:
		return new(OutcomeQuery), nil
	case KindTimestamp:
		return new(Timestamp), nil
	default:
		return nil, oops.Errorf("frame kind: found %d, want %d to %d", kind, KindHello, KindTimestamp)
	}
}
