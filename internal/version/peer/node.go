package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"vanillapond/internal/body"
	"vanillapond/internal/bounded"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/version/freshness"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/ident"
)

// queryTimeout bounds one query and its response.
const queryTimeout = time.Second

// authScheme precedes the secret in the Authorization header of a query, also if the secret is empty.
const authScheme = "Peer-Secret:"

// contentType is the media type of queries and responses.
const contentType = "application/cbor"

// Config identifies a node and holds its dependencies.
type Config struct {
	Process ident.Process
	// Address is the host:port at which peers reach this node.
	Address string
	Domain  ident.FailureDomain
	// Secret authenticates the processes of the deployment to each other.
	Secret  string
	Replica *replica.Replica
	Gate    *freshness.Gate
	Events  *event.Recorder
	// Scheme is the URL scheme of queries, http or https.
	Scheme string
	// Holdings bounds the queries that arrive; nil bounds nothing.
	Holdings *holdings.Account
	// HTTP is the client that sends queries; nil means that of httpresponse.NewClient.
	HTTP *http.Client
}

// Node queries its peers and responds to their queries.
type Node struct {
	config Config
}

// New returns a node.
func New(config Config) *Node {
	if config.HTTP == nil {
		config.HTTP = httpresponse.NewClient(nil)
	}
	return &Node{config: config}
}

// ServeHTTP implements http.Handler: it responds to a peer's query.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	secret := strings.TrimPrefix(r.Header.Get("Authorization"), authScheme)
	if subtle.ConstantTimeCompare([]byte(secret), []byte(n.config.Secret)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	read, err := body.Read(w, r, body.Config{Limit: maxMessage, Deadline: time.Now().Add(queryTimeout), Account: n.config.Holdings})
	if err != nil {
		body.Refuse(w, err, n.config.Holdings)
		return
	}
	defer read.Release()
	query, err := decode[Query](read.Join())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, err := cbor.Marshal(n.respond(query))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(response) //nolint:gosec // The response is CBOR for another entry, no page.
}

// respond reads the evidence before the version: the version may be newer than the evidence, but not the other way
// round.
func (n *Node) respond(query *Query) Response {
	response := Response{Process: n.config.Process, Time: n.config.Events.Clock().Observe(query.Time)}
	_ = n.config.Replica.Apply(query.Records)
	n.config.Gate.Do(func(tracker *freshness.Tracker, now clock.Reading) {
		tracker.ObserveQuery(now, freshness.Peer{Address: query.Address, Name: string(query.Process), Domain: query.Domain})
		evidence := tracker.Evidence(now)
		response.TableAgeMS, response.DomainAgeMS = milliseconds(evidence.Table), milliseconds(evidence.Domain)
	})
	current := n.config.Replica.Current()
	response.Version = current.Version
	records, err := n.config.Replica.Since(query.Version)
	if errors.Is(err, store.ErrGap) {
		response.Configuration = &current
		return response
	}
	if len(records) > 0 {
		response.Records, response.Version = records, records[len(records)-1].Version
	}
	return response
}

// Query queries one peer, puts the versions that it holds in force here and records its evidence.
//
// It returns the version that the peer holds. Records are sent along, because the peer may lack them.
func (n *Node) Query(ctx context.Context, peer freshness.Peer, records []store.Record) (ident.Version, error) {
	sent := clock.Boot()
	response, err := n.exchange(ctx, peer, records)
	if err == nil {
		err = n.apply(response)
	}
	n.config.Gate.Do(func(tracker *freshness.Tracker, _ clock.Reading) {
		if err != nil {
			tracker.ObserveFailure(peer)
			return
		}
		tracker.ObserveResponse(sent, peer, response.Evidence())
	})
	if err != nil {
		return 0, err
	}
	return response.Version, nil
}

// apply puts the versions of a response in force.
func (n *Node) apply(response *Response) error {
	if response.Configuration != nil {
		n.config.Replica.Replace(*response.Configuration)
	}
	if err := n.config.Replica.Apply(response.Records); err != nil {
		return err
	}
	if held := n.config.Replica.Version(); held < response.Version {
		return oops.Errorf("peer %s: found version %d here, want version %d of the peer", response.Process, held, response.Version)
	}
	return nil
}

func (n *Node) exchange(ctx context.Context, peer freshness.Peer, records []store.Record) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	message, err := cbor.Marshal(Query{
		Process: n.config.Process, Address: n.config.Address, Domain: n.config.Domain,
		Version: n.config.Replica.Version(), Records: records, Time: n.config.Events.Clock().Now(),
	})
	if err != nil {
		return nil, oops.Wrapf(err, "encode query")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.config.Scheme+"://"+peer.Address+Path, bytes.NewReader(message))
	if err != nil {
		return nil, oops.Wrapf(err, "question")
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Authorization", authScheme+n.config.Secret)
	response, err := n.config.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := bounded.ReadAll(response.Body, maxMessage)
	if err != nil {
		return nil, oops.Wrapf(err, "answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, oops.Errorf("peer %s: found status %d, want 200", peer.Address, response.StatusCode)
	}
	result, err := decode[Response](content)
	if err != nil {
		return nil, err
	}
	n.config.Events.Clock().Observe(result.Time)
	return result, nil
}
