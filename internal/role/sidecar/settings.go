package sidecar

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/certificate"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Settings are a sidecar's YAML settings.
type Settings struct {
	Process  ident.Process       `yaml:"process"`
	Domain   ident.FailureDomain `yaml:"failure_domain"`
	Endpoint ident.Endpoint      `yaml:"endpoint"`
	Kind     configuration.Kind  `yaml:"kind"`
	// Listen and PrivateListen are host:port addresses.
	Listen        string `yaml:"listen"`
	PrivateListen string `yaml:"private_listen"`
	// Backend is the base address of the back end beside the sidecar.
	Backend string `yaml:"backend"`
	// Platform is the base address of the platform's services.
	Platform string `yaml:"platform"`
	// Concurrency is how many requests the back end runs at a time.
	Concurrency int `yaml:"concurrency"`
	// ProcessTLS encrypts and authenticates links, both ways; empty means plain.
	ProcessTLS certificate.Files `yaml:"process_tls"`
	// LinkSecretFile holds what proves to entries that the sidecar belongs to the system.
	LinkSecretFile string `yaml:"link_secret_file"`
	// DrainSeconds bounds how long a planned stop waits for running requests.
	DrainSeconds int64 `yaml:"drain_seconds"`
	// OrphanAfterMS is how long an entry's link is down before its usage is written here, in milliseconds.
	OrphanAfterMS int64 `yaml:"orphan_after_ms"`
}

// defaultDrainSeconds is how long a planned stop waits where the settings do not say.
const defaultDrainSeconds = 600

// defaultOrphanAfterMS is two flushes of an entry, in milliseconds.
const defaultOrphanAfterMS = 60_000

// Check returns an error that names the first field that breaks a rule, and fills in defaults.
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
			return oops.Errorf("%s: found nothing, want an address", field.name)
		}
	}
	if err := s.ProcessTLS.Check(); err != nil {
		return oops.Errorf("process_tls.%v", err)
	}
	if s.ProcessTLS.IsSet() && s.ProcessTLS.Authority == "" {
		return oops.Errorf("process_tls.authority_file: found nothing, want a file")
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
	return nil
}

// DrainTimeout returns how long a planned stop waits for running requests.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }

// OrphanTimeout returns how long an entry's link is down before its usage is written here.
func (s *Settings) OrphanTimeout() time.Duration {
	return time.Duration(s.OrphanAfterMS) * time.Millisecond
}
