package sidecar

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/role/member"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Settings are the settings of a sidecar, as read from YAML.
type Settings struct {
	Process  ident.Process       `yaml:"process"`
	Domain   ident.FailureDomain `yaml:"failure_domain"`
	Endpoint ident.Endpoint      `yaml:"endpoint"`
	Kind     configuration.Kind  `yaml:"kind"`
	// Listen and PrivateListen are the host:port addresses of the listeners for links, and for probes, events and metrics.
	Listen        string `yaml:"listen"`
	PrivateListen string `yaml:"private_listen"`
	// Backend is the base URL of the backend to which the sidecar forwards requests.
	Backend string `yaml:"backend"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform"`
	// Concurrency is the number of requests that the backend runs at a time.
	Concurrency int `yaml:"concurrency"`
	// ProcessTLS enables mutual TLS on links; empty means no TLS.
	ProcessTLS certificate.Files `yaml:"process_tls"`
	// LinkSecretFile is the file with the shared secret that authenticates the sidecar to entries.
	LinkSecretFile string `yaml:"link_secret_file"`
	// DrainSeconds bounds how long a planned stop waits for running requests, in seconds.
	DrainSeconds int64 `yaml:"drain_seconds"`
	// OrphanAfterMS is how long an entry's links must be down before the sidecar writes the entry's usage itself, in milliseconds.
	OrphanAfterMS int64 `yaml:"orphan_after_ms"`
	// Limits bound what callers and other processes may hold.
	Limits member.Limits `yaml:"limits"`
}

// defaultDrainSeconds is the default of Settings.DrainSeconds.
const defaultDrainSeconds = 600

// defaultOrphanAfterMS is the default of Settings.OrphanAfterMS: twice the default flush interval of an entry.
const defaultOrphanAfterMS = 60_000

// Check fills in defaults and validates the settings. The error names the first invalid field.
func (s *Settings) Check() error {
	if err := ident.Check("process", s.Process); err != nil {
		return err
	}
	if err := ident.Check("failure_domain", s.Domain); err != nil {
		return err
	}
	if err := ident.Check("endpoint", s.Endpoint); err != nil {
		return err
	}
	if s.Kind != configuration.KindEngine && s.Kind != configuration.KindService {
		return oops.Errorf("kind: found %q, want %q or %q", s.Kind, configuration.KindEngine, configuration.KindService)
	}
	for _, field := range []struct{ name, value string }{
		{"listen", s.Listen},
		{"private_listen", s.PrivateListen},
		{"backend", s.Backend},
		{"platform", s.Platform},
	} {
		if field.value == "" {
			return oops.Errorf("%s: address is not set", field.name)
		}
	}
	if err := s.ProcessTLS.Check(); err != nil {
		return oops.Errorf("process_tls.%v", err)
	}
	if s.ProcessTLS.IsSet() && s.ProcessTLS.Authority == "" {
		return oops.Errorf("process_tls.authority_file: file is not set")
	}
	if s.Concurrency < 1 {
		return oops.Errorf("concurrency: found %d, want at least 1", s.Concurrency)
	}
	if s.OrphanAfterMS < 0 {
		return oops.Errorf("orphan_after_ms: found %d, want 0 or more", s.OrphanAfterMS)
	}
	if s.OrphanAfterMS == 0 {
		s.OrphanAfterMS = defaultOrphanAfterMS
	}
	if s.DrainSeconds < 0 {
		return oops.Errorf("drain_seconds: found %d, want 0 or more", s.DrainSeconds)
	}
	if s.DrainSeconds == 0 {
		s.DrainSeconds = defaultDrainSeconds
	}
	return s.Limits.Check()
}

// DrainTimeout returns the upper bound of the time that a planned stop waits for running requests.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }

// OrphanTimeout returns how long an entry's links must be down before the sidecar writes the entry's usage itself.
func (s *Settings) OrphanTimeout() time.Duration {
	return time.Duration(s.OrphanAfterMS) * time.Millisecond
}
