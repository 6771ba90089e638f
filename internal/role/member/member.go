// Package member holds what every process of the system has: names, a secret, events and counters.
package member

import (
	"crypto/rand"
	"io"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/process/settings"
	"vanillapond/pkg/ident"
)

// secretVariable is the environment variable that may hold the link secret.
const secretVariable = "VANILLAPOND_LINK_SECRET"

// Config says which process this is.
type Config struct {
	Process ident.Process
	// SecretFile holds what proves that the process belongs to the system; empty means the environment.
	SecretFile string
	// Log gets one line an event.
	Log io.Writer
}

// Member is one run of a process.
type Member struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	// Secret proves that the process belongs to the system.
	Secret  string
	Events  *event.Recorder
	Metrics *metrics.Metrics
}

// New returns a member with a new incarnation.
func New(config Config) (*Member, error) {
	secret, err := settings.Secret(config.SecretFile, secretVariable)
	if err != nil {
		return nil, err
	}
	incarnation, err := ident.NewIncarnation(config.Process, time.Now(), rand.Reader)
	if err != nil {
		return nil, err
	}
	m := &Member{
		Process:     config.Process,
		Incarnation: incarnation,
		Secret:      secret,
		Metrics:     metrics.New(metrics.Config{}),
	}
	m.Events = event.New(event.Config{
		Process: m.Process, Incarnation: m.Incarnation, Log: config.Log, OnRecord: m.Metrics.CountEvent,
	})
	return m, nil
}

// Hello returns what the process says of itself at the start of a link.
func (m *Member) Hello() link.Hello {
	return link.Hello{
		MinVersion: link.VersionMin, MaxVersion: link.VersionMax,
		Process: m.Process, Incarnation: m.Incarnation, Secret: m.Secret,
	}
}
