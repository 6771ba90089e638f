package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/version/freshness"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/ident"
)

// timeout bounds one question and its answer.
const timeout = time.Second

// scheme stands before the secret in a question's header; without a secret the header is empty.
const scheme = "Peer-Secret:"

// contentType is that of questions and answers.
const contentType = "application/cbor"

// Config says who a node is and what it works with.
type Config struct {
	Process ident.Process
	// Address is where peers reach this node, as host:port.
	Address string
	Domain  ident.FailureDomain
	// Secret proves that a process belongs to the system.
	Secret  string
	Replica *replica.Replica
	Gate    *freshness.Gate
	Events  *event.Recorder
	// Scheme is http or https.
	Scheme string
	// HTTP sends questions; nil means http.DefaultClient.
	HTTP *http.Client
}

// Node asks its peers and answers them.
type Node struct {
	config Config
}

// New returns a node.
func New(config Config) *Node {
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	return &Node{config: config}
}

// ServeHTTP implements http.Handler: it answers a peer's question.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	secret := strings.TrimPrefix(r.Header.Get("Authorization"), scheme)
	if subtle.ConstantTimeCompare([]byte(secret), []byte(n.config.Secret)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	question, err := decode[Query](body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := cbor.Marshal(n.answer(question))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(answer)
}

// answer takes the evidence before the version, because only the version may be newer than the other.
func (n *Node) answer(question *Query) Response {
	answer := Response{Process: n.config.Process, Time: n.config.Events.Clock().Observe(question.Time)}
	_ = n.config.Replica.Apply(question.Records)
	n.config.Gate.Do(func(m *freshness.Tracker, now clock.Reading) {
		m.ObserveQuery(now, freshness.Peer{Address: question.Address, Name: string(question.Process), Domain: question.Domain})
		evidence := m.Evidence(now)
		answer.TableAgeMS, answer.DomainAgeMS = milliseconds(evidence.Table), milliseconds(evidence.Domain)
	})
	current := n.config.Replica.Current()
	answer.Version = current.Version
	records, err := n.config.Replica.Since(question.Version)
	if errors.Is(err, store.ErrGap) {
		answer.Configuration = &current
		return answer
	}
	if len(records) > 0 {
		answer.Records, answer.Version = records, records[len(records)-1].Version
	}
	return answer
}

// Query asks one peer, puts what it holds in force here and takes its evidence over.
//
// It returns the version that the peer holds. Records are what the peer may lack.
func (n *Node) Query(ctx context.Context, peer freshness.Peer, records []store.Record) (ident.Version, error) {
	sent := clock.Boot()
	answer, err := n.exchange(ctx, peer, records)
	if err == nil {
		err = n.take(answer)
	}
	n.config.Gate.Do(func(m *freshness.Tracker, _ clock.Reading) {
		if err != nil {
			m.ObserveFailure(peer)
			return
		}
		m.ObserveResponse(sent, peer, answer.Evidence())
	})
	if err != nil {
		return 0, err
	}
	return answer.Version, nil
}

// take puts what an answer brings in force.
func (n *Node) take(answer *Response) error {
	if answer.Configuration != nil {
		n.config.Replica.Replace(*answer.Configuration)
	}
	if err := n.config.Replica.Apply(answer.Records); err != nil {
		return err
	}
	if held := n.config.Replica.Version(); held < answer.Version {
		return oops.Errorf("peer %s: found version %d here, want its %d", answer.Process, held, answer.Version)
	}
	return nil
}

func (n *Node) exchange(ctx context.Context, peer freshness.Peer, records []store.Record) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := cbor.Marshal(Query{
		Process: n.config.Process, Address: n.config.Address, Domain: n.config.Domain,
		Version: n.config.Replica.Version(), Records: records, Time: n.config.Events.Clock().Now(),
	})
	if err != nil {
		return nil, oops.Wrapf(err, "encode question")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.config.Scheme+"://"+peer.Address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, oops.Wrapf(err, "question")
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Authorization", scheme+n.config.Secret)
	response, err := n.config.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	if err != nil {
		return nil, oops.Wrapf(err, "answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, oops.Errorf("peer %s: found status %d, want 200", peer.Address, response.StatusCode)
	}
	answer, err := decode[Response](content)
	if err != nil {
		return nil, err
	}
	n.config.Events.Clock().Observe(answer.Time)
	return answer, nil
}
