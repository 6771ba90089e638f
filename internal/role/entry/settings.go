package entry

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/lease"
	"vanillapond/pkg/ident"
)

// Settings are an entry's YAML settings.
type Settings struct {
	Process ident.Process       `yaml:"process"`
	Domain  ident.FailureDomain `yaml:"failure_domain"`
	// Listen, OperatorListen and PrivateListen are host:port addresses.
	Listen         string `yaml:"listen"`
	OperatorListen string `yaml:"operator_listen"`
	PrivateListen  string `yaml:"private_listen"`
	// Platform is the base address of the platform's services.
	Platform string `yaml:"platform"`
	// PeerListen takes other entries' questions, as host:port; empty means that PrivateListen does.
	PeerListen string `yaml:"peer_listen"`
	// PeerAddress is where other entries reach this one, as host:port; it defaults to PeerListen or PrivateListen.
	PeerAddress string `yaml:"peer_address"`
	// Peers are the other entries until the platform's list names any.
	Peers []Peer `yaml:"peers"`
	// CallerTLS and OperatorTLS encrypt those listeners; empty means plain.
	CallerTLS   certificate.Files `yaml:"caller_tls"`
	OperatorTLS certificate.Files `yaml:"operator_tls"`
	// ProcessTLS encrypts and authenticates links and PeerListen, both ways; empty means plain.
	ProcessTLS certificate.Files `yaml:"process_tls"`
	// LinkSecretFile holds what proves to sidecars that the entry belongs to the system.
	LinkSecretFile string `yaml:"link_secret_file"`
	// RootOperator is the digest of the credential that may do everything.
	RootOperator ident.KeyDigest `yaml:"root_operator"`
	// DrainSeconds bounds how long a planned stop waits for running requests.
	DrainSeconds int64 `yaml:"drain_seconds"`
	// BalancerMS is how long after /ready says no the balancer may still send new connections, in milliseconds.
	BalancerMS int64 `yaml:"balancer_ms"`
	// LeaseTermMS is how long a lease lasts without a renewal, in milliseconds.
	LeaseTermMS int64 `yaml:"lease_term_ms"`
	// FlushMS is the time between two writes of usage, in milliseconds.
	FlushMS int64 `yaml:"flush_ms"`
	// GraceSeconds is how long after its end a billing window still takes usage.
	GraceSeconds int64 `yaml:"grace_seconds"`
}

// Peer is another entry.
type Peer struct {
	Process ident.Process       `yaml:"process"`
	Domain  ident.FailureDomain `yaml:"failure_domain"`
	// Address is the other entry's peer address, as host:port.
	Address string `yaml:"address"`
}

// defaultDrainSeconds is how long a planned stop waits where the settings do not say.
const defaultDrainSeconds = 600

// Times of planned stops and leases.
const (
	defaultBalancerMS = 2_000
	leastLeaseTermMS  = 1_000
)

// Defaults of the billing.
const (
	defaultFlushMS      = 30_000
	defaultGraceSeconds = 180
)

// Check returns an error that names the first field that breaks a rule, and fills in defaults.
func (s *Settings) Check() error {
	if err := ident.Check("process", s.Process); err != nil {
		return err
	}
	if err := ident.Check("failure_domain", s.Domain); err != nil {
		return err
	}
	for _, field := range []struct{ name, value string }{
		{"listen", s.Listen},
		{"operator_listen", s.OperatorListen},
		{"private_listen", s.PrivateListen},
		{"platform", s.Platform},
	} {
		if field.value == "" {
			return oops.Errorf("%s: found nothing, want an address", field.name)
		}
	}
	s.PeerAddress = cmp.Or(s.PeerAddress, s.PeerListen, s.PrivateListen)
	if err := s.checkTLS(); err != nil {
		return err
	}
	if err := s.checkPeers(); err != nil {
		return err
	}
	if s.RootOperator != "" {
		if err := s.RootOperator.Check(); err != nil {
			return oops.Wrapf(err, "root_operator")
		}
	}
	if s.DrainSeconds < 0 {
		return oops.Errorf("drain_seconds: found %d, want 0 or more", s.DrainSeconds)
	}
	if s.DrainSeconds == 0 {
		s.DrainSeconds = defaultDrainSeconds
	}
	return cmp.Or(s.checkTimes(), s.checkBilling())
}

func (s *Settings) checkTimes() error {
	if s.BalancerMS < 0 {
		return oops.Errorf("balancer_ms: found %d, want 0 or more", s.BalancerMS)
	}
	if s.BalancerMS == 0 {
		s.BalancerMS = defaultBalancerMS
	}
	if s.LeaseTermMS == 0 {
		s.LeaseTermMS = lease.DefaultTerm.Milliseconds()
	}
	if s.LeaseTermMS < leastLeaseTermMS {
		return oops.Errorf("lease_term_ms: found %d, want at least %d", s.LeaseTermMS, leastLeaseTermMS)
	}
	return nil
}

// BalancerDelay returns how long after /ready says no the balancer may still send new connections.
func (s *Settings) BalancerDelay() time.Duration {
	return time.Duration(s.BalancerMS) * time.Millisecond
}

// LeaseTerm returns how long a lease lasts without a renewal.
func (s *Settings) LeaseTerm() time.Duration { return time.Duration(s.LeaseTermMS) * time.Millisecond }

func (s *Settings) checkBilling() error {
	if s.FlushMS < 0 {
		return oops.Errorf("flush_ms: found %d, want 0 or more", s.FlushMS)
	}
	if s.GraceSeconds < 0 {
		return oops.Errorf("grace_seconds: found %d, want 0 or more", s.GraceSeconds)
	}
	if s.FlushMS == 0 {
		s.FlushMS = defaultFlushMS
	}
	if s.GraceSeconds == 0 {
		s.GraceSeconds = defaultGraceSeconds
	}
	return nil
}

// FlushInterval returns the time between two writes of usage.
func (s *Settings) FlushInterval() time.Duration { return time.Duration(s.FlushMS) * time.Millisecond }

// GracePeriod returns how long after its end a billing window still takes usage.
func (s *Settings) GracePeriod() time.Duration { return time.Duration(s.GraceSeconds) * time.Second }

func (s *Settings) checkTLS() error {
	for _, files := range []struct {
		field string
		files certificate.Files
	}{{"caller_tls", s.CallerTLS}, {"operator_tls", s.OperatorTLS}, {"process_tls", s.ProcessTLS}} {
		if err := files.files.Check(); err != nil {
			return oops.Errorf("%s.%v", files.field, err)
		}
	}
	if s.ProcessTLS.IsSet() && (s.ProcessTLS.Authority == "" || s.PeerListen == "") {
		return oops.Errorf("process_tls: found no authority_file or no peer_listen, want both with it")
	}
	return nil
}

func (s *Settings) checkPeers() error {
	for index, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", index)
		if err := cmp.Or(
			ident.Check(field+".process", peer.Process),
			ident.Check(field+".failure_domain", peer.Domain),
		); err != nil {
			return err
		}
		if _, _, err := net.SplitHostPort(peer.Address); err != nil {
			return oops.Errorf("%s.address: found %q, want host:port", field, peer.Address)
		}
	}
	return nil
}

// scheme returns a URL scheme, with an s where processes talk by TLS.
func (s *Settings) scheme(plain string) string {
	if s.ProcessTLS.IsSet() {
		return plain + "s"
	}
	return plain
}

// DrainTimeout returns how long a planned stop waits for running requests.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }
