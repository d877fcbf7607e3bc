package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"maps"
	"net"
	"net/rpc"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// serveConn performs the handshake of a connection and serves its calls until it closes.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	conn, remote, err := s.handshake(ctx, raw)
	s.mu.Lock()
	delete(s.handshaking, raw)
	s.mu.Unlock()
	<-s.handshakeSlots
	if err != nil {
		s.recordRefusal(raw, err)
		_ = raw.Close()
		return
	}
	codec, rpcServer, err := s.registerConn(ctx, conn, remote)
	if err != nil {
		s.recordRefusal(raw, err)
		_ = raw.Close()
		return
	}
	s.metrics.connections.Inc()
	rpcServer.ServeCodec(codec)
	s.metrics.connections.Dec()
	s.unregisterConn(codec, remote)
}

// handshake performs the TLS handshake, if TLS is configured, and exchanges greetings
// within HandshakeTimeout. It returns the connection to use and the client's host ID.
func (s *Server) handshake(ctx context.Context, raw net.Conn) (net.Conn, host.ID, error) {
	if err := raw.SetDeadline(time.Now().Add(s.limits.HandshakeTimeout)); err != nil {
		return nil, "", handshakeError(err)
	}
	var conn net.Conn = newCountingConn(raw, s.metrics.bytes, time.Now)
	var authenticated host.ID
	if s.options.TLS != nil {
		tlsConn := tls.Server(conn, s.options.TLS.config(x509.ExtKeyUsageClientAuth))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, "", handshakeError(err)
		}
		identity, err := certificateIdentity(tlsConn.ConnectionState().PeerCertificates[0])
		if err != nil {
			return nil, "", err
		}
		if identity.DataCentre == OperatorsDataCentre {
			return nil, "", &Error{Kind: WrongIdentity, Peer: identity.Host, Err: errOperatorCertificate}
		}
		authenticated, conn = identity.Host, tlsConn
	}
	remote, err := acceptGreeting(conn, s.options.Self, authenticated)
	if err != nil {
		return nil, "", handshakeError(err)
	}
	return conn, remote, conn.SetDeadline(time.Time{})
}

// registerConn creates the connection's receivers and codec and adds the connection to
// the peer's usage. It fails if the server is stopping or the peer has too many
// connections.
func (s *Server) registerConn(ctx context.Context, conn net.Conn, remote host.ID) (*serverCodec, *rpc.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, nil, &Error{Kind: Closed, Peer: remote}
	}
	rpcServer, methods := rpc.NewServer(), make(map[string]struct{})
	for name, factory := range s.factories {
		receiver := factory(remote)
		maps.Copy(methods, servedMethods(name, receiver))
		if err := rpcServer.RegisterName(name, receiver); err != nil {
			return nil, nil, &Error{Kind: Failed, Peer: remote, Err: errors.Join(errors.New("cannot register service "+name), err)}
		}
	}
	usage := s.peers[remote]
	if usage == nil {
		usage = &peerUsage{slots: make(chan struct{}, s.limits.InFlight)}
		s.peers[remote] = usage
	}
	if usage.connections >= s.limits.Connections {
		return nil, nil, &Error{Kind: TooManyConnections, Peer: remote}
	}
	usage.connections++
	codec := newServerCodec(ctx, conn, s.limits, s.metrics, methods, usage.slots)
	s.codecs[codec] = struct{}{}
	return codec, rpcServer, nil
}

// unregisterConn removes a closed connection from the server and the peer's usage.
func (s *Server) unregisterConn(codec *serverCodec, remote host.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.codecs, codec)
	usage := s.peers[remote]
	if usage.connections--; usage.connections == 0 {
		delete(s.peers, remote)
	}
}
