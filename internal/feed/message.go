package feed

import "github.com/oatlatch/oatlatch/internal/catalog"

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages. Their numbers are sent.
const (
	// Ask requests an Answer, and News for subscriptionTime.
	Ask MessageKind = iota + 1
	// Answer tells what the host that was asked knows.
	Answer
	// News tells of a change.
	News
)

var messageKindNames = [...]string{Ask: "ask", Answer: "answer", News: "news"}

// String returns the name of the kind as metrics have it.
func (k MessageKind) String() string {
	if k < Ask || int(k) >= len(messageKindNames) {
		return "unknown"
	}
	return messageKindNames[k]
}

// Message tells another host what this one knows. It may be lost.
type Message struct {
	Kind MessageKind
	PeerProgress
}

// outgoing is a message to be sent once Feed.mu is not held.
type outgoing struct {
	to catalog.Host
	Message
}

// send sends the messages. It returns without waiting.
func (f *Feed) send(messages []outgoing) {
	for i := range messages {
		f.options.Send(messages[i].to, messages[i].Message)
	}
}
