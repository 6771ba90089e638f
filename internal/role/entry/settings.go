package entry

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/role/member"
	"vanillapond/pkg/ident"
)

// Settings are the settings of an entry, as read from YAML.
type Settings struct {
	Process ident.Process       `yaml:"process"`
	Domain  ident.FailureDomain `yaml:"failure_domain"`
	// Listen, OperatorListen and PrivateListen are the host:port addresses of the listeners for callers, for operators,
	// and for probes, events and metrics.
	Listen         string `yaml:"listen"`
	OperatorListen string `yaml:"operator_listen"`
	PrivateListen  string `yaml:"private_listen"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform"`
	// PeerListen is the host:port address that serves the other entries' requests; empty means that PrivateListen serves them.
	PeerListen string `yaml:"peer_listen"`
	// PeerAddress is the host:port address at which other entries reach this one; it defaults to PeerListen or PrivateListen.
	PeerAddress string `yaml:"peer_address"`
	// Peers are the other entries, used until the platform's list names any.
	Peers []Peer `yaml:"peers"`
	// CallerTLS and OperatorTLS enable TLS on the listeners for callers and operators; empty means no TLS.
	CallerTLS   certificate.Files `yaml:"caller_tls"`
	OperatorTLS certificate.Files `yaml:"operator_tls"`
	// ProcessTLS enables mutual TLS on links and on PeerListen; empty means no TLS.
	ProcessTLS certificate.Files `yaml:"process_tls"`
	// LinkSecretFile is the file with the shared secret that authenticates the entry to sidecars.
	LinkSecretFile string `yaml:"link_secret_file"`
	// RootOperator is the digest of the operator credential with all permissions.
	RootOperator ident.KeyDigest `yaml:"root_operator"`
	// DrainSeconds bounds how long a planned stop waits for running requests, in seconds.
	DrainSeconds int64 `yaml:"drain_seconds"`
	// BalancerMS is how long the load balancer may still open new connections after /ready reports not ready, in milliseconds.
	BalancerMS int64 `yaml:"balancer_ms"`
	// LeaseTermMS is how long a lease lasts without renewal, in milliseconds.
	LeaseTermMS int64 `yaml:"lease_term_ms"`
	// FlushMS is the time between two writes of usage to the platform's table, in milliseconds.
	FlushMS int64 `yaml:"flush_ms"`
	// GraceSeconds is how long after its end a billing window still accepts usage.
	GraceSeconds int64 `yaml:"grace_seconds"`
	// Limits bound what callers and other processes may hold.
	Limits member.Limits `yaml:"limits"`
}

// Peer is another entry process.
type Peer struct {
	Process ident.Process       `yaml:"process"`
	Domain  ident.FailureDomain `yaml:"failure_domain"`
	// Address is the other entry's PeerAddress, as host:port.
	Address string `yaml:"address"`
}

// defaultDrainSeconds is the default of Settings.DrainSeconds.
const defaultDrainSeconds = 600

// Defaults and limits of the times for planned stops and leases.
const (
	defaultBalancerMS = 2_000
	minLeaseTermMS    = 1_000
)

// Defaults for billing.
const (
	defaultFlushMS      = 30_000
	defaultGraceSeconds = 180
)

// Check fills in defaults and validates the settings. The error names the first invalid field.
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
			return oops.Errorf("%s: address is not set", field.name)
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
	return cmp.Or(s.checkTimes(), s.checkBilling(), s.Limits.Check())
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
	if s.LeaseTermMS < minLeaseTermMS {
		return oops.Errorf("lease_term_ms: found %d, want at least %d", s.LeaseTermMS, minLeaseTermMS)
	}
	return nil
}

// BalancerDelay returns how long the load balancer may still open new connections after /ready reports not ready.
func (s *Settings) BalancerDelay() time.Duration {
	return time.Duration(s.BalancerMS) * time.Millisecond
}

// LeaseTerm returns how long a lease lasts without renewal.
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

// GracePeriod returns how long after its end a billing window still accepts usage.
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

// urlScheme returns the given URL scheme, or its TLS variant if the processes use TLS among each other.
func (s *Settings) urlScheme(plain string) string {
	if s.ProcessTLS.IsSet() {
		return plain + "s"
	}
	return plain
}

// DrainTimeout returns the upper bound of the time that a planned stop waits for running requests.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }
