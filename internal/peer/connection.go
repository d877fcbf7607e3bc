package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// serve sets up one connection and answers its calls.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	secured, from, err := s.setUp(ctx, raw)
	s.mu.Lock()
	delete(s.pending, raw)
	s.mu.Unlock()
	<-s.handshakes
	if err != nil {
		s.refuse(raw, err)
		_ = raw.Close()
		return
	}
	codec, receiver, err := s.admit(ctx, secured, from)
	if err != nil {
		s.refuse(raw, err)
		_ = raw.Close()
		return
	}
	s.metrics.connections.Inc()
	receiver.ServeCodec(codec)
	s.metrics.connections.Dec()
	s.dismiss(codec, from)
}

// setUp performs the TLS handshake and the greeting in bounded time.
func (s *Server) setUp(ctx context.Context, raw net.Conn) (net.Conn, host.ID, error) {
	if err := raw.SetDeadline(time.Now().Add(s.limits.HandshakeTimeout)); err != nil {
		return nil, "", greetingError(err)
	}
	var conn net.Conn = newCountingConn(raw, s.metrics.bytes, time.Now)
	var authenticated host.ID
	if s.options.TLS != nil {
		secured := tls.Server(conn, s.options.TLS.config(x509.ExtKeyUsageClientAuth))
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, "", greetingError(err)
		}
		identity, err := identityOf(secured.ConnectionState().PeerCertificates[0])
		if err != nil {
			return nil, "", err
		}
		if identity.DataCentre == OperatorsDataCentre {
			return nil, "", &Error{Kind: WrongIdentity, Peer: identity.Host, Err: errOperator}
		}
		authenticated, conn = identity.Host, secured
	}
	from, err := acceptGreeting(conn, s.options.Self, authenticated)
	if err != nil {
		return nil, "", greetingError(err)
	}
	return conn, from, conn.SetDeadline(time.Time{})
}

// admit makes the receivers and counts the connection against the peer's cap.
func (s *Server) admit(ctx context.Context, conn net.Conn, from host.ID) (*serverCodec, *rpc.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, nil, &Error{Kind: Closed, Peer: from}
	}
	receiver := rpc.NewServer()
	for name, factory := range s.factories {
		if err := receiver.RegisterName(name, factory(from)); err != nil {
			return nil, nil, &Error{Kind: Failed, Peer: from, Err: errors.Join(errors.New("service "+name), err)}
		}
	}
	load := s.peers[from]
	if load == nil {
		load = &peerLoad{slots: make(chan struct{}, s.limits.InFlight)}
		s.peers[from] = load
	}
	if load.connections >= s.limits.Connections {
		return nil, nil, &Error{Kind: TooMany, Peer: from}
	}
	load.connections++
	codec := newServerCodec(ctx, conn, s.limits, s.metrics, load.slots)
	s.codecs[codec] = struct{}{}
	return codec, receiver, nil
}

// dismiss forgets a closed connection.
func (s *Server) dismiss(codec *serverCodec, from host.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.codecs, codec)
	load := s.peers[from]
	if load.connections--; load.connections == 0 {
		delete(s.peers, from)
	}
}
