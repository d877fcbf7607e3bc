package gossip

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

// Numbers of the fields of a message. Hosts of several builds run side by side during an
// upgrade: a number keeps its meaning and type for good, a field that is missing is zero, and
// hosts ignore fields that they do not know.
const (
	fieldKind             = protowire.Number(1)
	fieldHost             = protowire.Number(2)
	fieldEpoch            = protowire.Number(3)
	fieldRevision         = protowire.Number(4)
	fieldVersion          = protowire.Number(5)
	fieldOverrides        = protowire.Number(6)
	fieldNewestEpoch      = protowire.Number(7)
	fieldNewestRevision   = protowire.Number(8)
	fieldOperatorEpoch    = protowire.Number(9)
	fieldOperatorRevision = protowire.Number(10)
	fieldAgeMillis        = protowire.Number(11)
	fieldIsolated         = protowire.Number(12)
)

// maxHostBytes is the maximum length of the name of a host.
const maxHostBytes = 255

// errMalformed means that a message cannot be decoded.
var errMalformed = errors.New("malformed message of another host: all hosts must run released builds")

// encode returns the message of the named host.
func encode(host string, m *feed.Message) []byte {
	var b []byte
	number := func(field protowire.Number, value uint64) {
		if value != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
		}
	}
	number(fieldKind, uint64(m.Kind))
	b = protowire.AppendString(protowire.AppendTag(b, fieldHost, protowire.BytesType), host)
	number(fieldEpoch, m.Position.Epoch)
	number(fieldRevision, m.Position.Revision)
	number(fieldVersion, m.Version)
	number(fieldOverrides, uint64(max(0, m.Overrides)))
	number(fieldNewestEpoch, m.Newest.Epoch)
	number(fieldNewestRevision, m.Newest.Revision)
	number(fieldOperatorEpoch, m.Operator.Epoch)
	number(fieldOperatorRevision, m.Operator.Revision)
	// An age of zero would be that of a host that tells none.
	number(fieldAgeMillis, uint64(max(1, m.Age.Milliseconds())))
	number(fieldIsolated, protowire.EncodeBool(m.Isolated))
	return b
}

// decode returns the message and the name of its host.
func decode(b []byte) (host string, m feed.Message, err error) {
	for len(b) > 0 {
		field, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return "", feed.Message{}, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		switch {
		case field == fieldHost && wireType == protowire.BytesType:
			host, n = protowire.ConsumeString(b)
		case wireType == protowire.VarintType:
			var value uint64
			value, n = protowire.ConsumeVarint(b)
			setNumber(&m, field, value)
		default:
			n = protowire.ConsumeFieldValue(field, wireType, b)
		}
		if n < 0 {
			return "", feed.Message{}, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
		}
		b = b[n:]
	}
	if host == "" || len(host) > maxHostBytes || m.Kind == 0 {
		return "", feed.Message{}, fmt.Errorf("%w: no host or kind", errMalformed)
	}
	return host, m, nil
}

// maxAge is the largest age that is told, which is far longer than any threshold of a feed.
const maxAge = 24 * time.Hour

// setNumber sets the field with the number.
func setNumber(m *feed.Message, field protowire.Number, value uint64) {
	position := func(p *catalog.Position, epoch, revision protowire.Number) {
		switch field {
		case epoch:
			p.Epoch = value
		case revision:
			p.Revision = value
		}
	}
	position(&m.Position, fieldEpoch, fieldRevision)
	position(&m.Newest, fieldNewestEpoch, fieldNewestRevision)
	position(&m.Operator, fieldOperatorEpoch, fieldOperatorRevision)
	switch field {
	case fieldKind:
		m.Kind = feed.MessageKind(min(value, 255))
	case fieldVersion:
		m.Version = value
	case fieldOverrides:
		m.Overrides = int(min(value, 1<<31))
	case fieldAgeMillis:
		m.Age = time.Duration(min(value, uint64(maxAge.Milliseconds()))) * time.Millisecond
	case fieldIsolated:
		m.Isolated = protowire.DecodeBool(value)
	}
}
