package link

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Protocol versions that this build speaks; both ends use the greatest common one.
const (
	VersionMin = 1
	VersionMax = 2
	// versionAsk is the first version with Ask.
	versionAsk = 2
)

// MaxMessage is the greatest size of one WebSocket message, in bytes.
const MaxMessage = 16 << 20

// StreamID numbers a stream on its link; the entry gives the numbers out, upwards.
type StreamID uint64

// Kind tells frames apart on the wire.
type Kind byte

// Frame is one typed message of a link.
type Frame interface {
	// Kind returns the frame's kind.
	Kind() Kind
	// Check returns an error where a field breaks its invariant.
	Check() error
}

// Append adds the encoded frame to message; a message may hold several frames.
func Append(message []byte, frame Frame) ([]byte, error) {
	message = append(message, byte(frame.Kind()))
	body, err := cbor.Marshal(frame)
	if err != nil {
		return nil, oops.Wrapf(err, "encode frame")
	}
	return append(message, body...), nil
}

// decoding refuses what the protocol has no use for.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
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

// Decode returns the first frame of message and the rest of it.
func Decode(message []byte) (Frame, []byte, error) {
	if len(message) == 0 {
		return nil, nil, oops.Errorf("frame: found nothing, want a kind and a body")
	}
	frame, err := newFrame(Kind(message[0]))
	if err != nil {
		return nil, nil, err
	}
	rest, err := decoding.UnmarshalFirst(message[1:], frame)
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
