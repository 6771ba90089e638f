// Package member provides what all processes of the system have in common: an identity, the link secret, the event recorder and
// the metrics.
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

// linkSecretVariable is the environment variable that holds the link secret if no file is configured.
const linkSecretVariable = "VANILLAPOND_LINK_SECRET"

// Config configures a member.
type Config struct {
	Process ident.Process
	// SecretFile is the file with the link secret; empty means that the secret is read from the environment.
	SecretFile string
	// Log receives one line per event.
	Log io.Writer
}

// Member is one incarnation of a process: a restarted process is a new member.
type Member struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	// Secret is the shared secret that authenticates the processes of the system to each other on links.
	Secret  string
	Events  *event.Recorder
	Metrics *metrics.Metrics
	// holdings records what had to go, got no room or was refused of what callers hold.
	holdings *holdingObserver
}

// New returns a member with a new incarnation.
func New(config Config) (*Member, error) {
	secret, err := settings.Secret(config.SecretFile, linkSecretVariable)
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
	m.holdings = &holdingObserver{events: m.Events}
	return m, nil
}

// Hello returns the message with which the process introduces itself when a link is established.
func (m *Member) Hello() link.Hello {
	return link.Hello{
		MinVersion: link.VersionMin, MaxVersion: link.VersionMax,
		Process: m.Process, Incarnation: m.Incarnation, Secret: m.Secret,
	}
}
