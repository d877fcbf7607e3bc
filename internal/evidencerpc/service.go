package evidencerpc

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// maxWait is the maximum time that a call waits, even if ExchangeArgs.Wait is longer.
const maxWait = 5 * time.Second

// Service is the net/rpc receiver for the calls of one child.
type Service struct {
	exchange *Exchange
	child    host.ID
}

// NewService returns the service for the calls of the child.
func NewService(exchange *Exchange, child host.ID) *Service {
	return &Service{exchange: exchange, child: child}
}

// Exchange takes the child's report and returns the evidence of all hosts, once that is
// newer than what the child has, but after args.Wait at the latest.
func (s *Service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	s.exchange.addReport(string(s.child), args.Report)
	timer := time.NewTimer(min(max(0, args.Wait), maxWait))
	defer timer.Stop()
	for {
		version, changed := s.exchange.currentVersion()
		if version != args.Version {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-args.ctx.Done():
			return args.ctx.Err()
		}
		break
	}
	reply.Total, reply.Version = s.exchange.total()
	return nil
}
