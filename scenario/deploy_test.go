package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// deployment is a small system with one platform stub.
type deployment struct {
	ts *testscript.TestScript
	// parameters holds the arguments of deploy, such as the number of entries and the concurrency of each endpoint.
	parameters map[string]int
	// endpoints holds the endpoints' lines of the configuration.
	endpoints []string
}

// deploy starts a system and applies its first configuration: deploy KEY=NUMBER...
//
// The keys are entries, engines, services and concurrency; lease_term, flush and orphan in milliseconds; window and grace in
// seconds; checks_fence=1 for a platform that refuses outdated fencing numbers; and relays=1 for relays that a script can block:
// $LINKSERVICE1 between entries and sidecar, $BACKSERVICE1 between sidecar and backend. Processes are named entry-1, engine-1,
// service-1, sidecar-engine-1 and sidecar-service-1; their addresses are $ENTRY1, $OPERATOR1, $PRIVATE1, $ENGINE1, $SERVICE1,
// $SIDECARENGINE1 and so on. The file classes.yaml holds the classes; the key school-key may use the classes drafting and issuance.
func deploy(ts *testscript.TestScript, _ bool, args []string) {
	d := &deployment{ts: ts, parameters: map[string]int{"entries": 1, "engines": 0, "services": 0, "concurrency": 4, "window": 3600}}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		d.parameters[key] = number(ts, value)
	}
	ports(ts, false, []string{"PLATFORM"})
	platform := []string{"platform", "stub", "platform", "--listen", ts.Getenv("PLATFORM")}
	if d.parameters["checks_fence"] == 1 {
		platform = append(platform, "--checks-fence")
	}
	start(ts, false, platform)
	await(ts, false, []string{"http://" + ts.Getenv("PLATFORM") + "/vms"})
	for _, kind := range []string{"engine", "service"} {
		for number := range d.parameters[kind+"s"] {
			d.addEndpoint(kind, number+1)
		}
	}
	for number := range d.parameters["entries"] {
		d.addEntry(number + 1)
	}
	d.configure()
}

// allocateAddress sets the variable of a process's address to a free address, and returns it.
func (d *deployment) allocateAddress(name string, number int) string {
	variable := strings.ToUpper(strings.ReplaceAll(name, "-", "")) + strconv.Itoa(number)
	ports(d.ts, false, []string{variable})
	return d.ts.Getenv(variable)
}

func (d *deployment) writeFile(name, content string) {
	d.ts.Check(os.WriteFile(d.ts.MkAbs(name), []byte(content), 0o600))
}

func (d *deployment) addEndpoint(kind string, number int) {
	backend := d.allocateAddress(kind, number)
	listen := d.allocateAddress("sidecar-"+kind, number)
	private := d.allocateAddress("private-"+kind, number)
	pool := map[string]string{"engine": "pond-llm", "service": "issuance-api"}[kind]
	sidecarAddress, backendAddress := d.throughRelay("link-"+kind, number, listen), d.throughRelay("back-"+kind, number, backend)
	name := fmt.Sprintf("sidecar-%s-%d", kind, number)
	d.writeFile(name+".yaml", fmt.Sprintf(
		"process: %s\nfailure_domain: sk-central-1\nendpoint: %s-%d\nkind: %s\nlisten: %s\nprivate_listen: %s\n"+
			"backend: http://%s\nplatform: http://%s\nconcurrency: %d\norphan_after_ms: %d\n",
		name, kind, number, kind, listen, private, backendAddress, d.ts.Getenv("PLATFORM"), d.parameters["concurrency"], d.parameters["orphan"]))
	start(d.ts, false, []string{fmt.Sprintf("%s-%d", kind, number), "stub", kind, "--listen", backend})
	start(d.ts, false, []string{name, "sidecar", "--settings", name + ".yaml"})
	await(d.ts, false, []string{"http://" + backend + "/stub/executions", "http://" + private + "/health"})
	d.endpoints = append(d.endpoints,
		fmt.Sprintf("    - {id: %s-%d, pool: %s, domain: sk-central-1, sidecar: %s}\n", kind, number, pool, sidecarAddress))
}

// throughRelay starts a relay to an address if the deployment has relays, and returns the address to connect to.
func (d *deployment) throughRelay(name string, number int, to string) string {
	if d.parameters["relays"] == 0 {
		return to
	}
	from := d.allocateAddress(name, number)
	relay(d.ts, false, []string{from, to})
	return from
}

func (d *deployment) addEntry(number int) {
	listen, operator, private := d.allocateAddress("entry", number), d.allocateAddress("operator", number), d.allocateAddress("private", number)
	name := fmt.Sprintf("entry-%d", number)
	d.writeFile(name+".yaml", fmt.Sprintf(
		"process: %s\nfailure_domain: sk-central-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\n"+
			"root_operator: 633cd8d24fedcc77768b4ec31de07894220aeaddbaaecec2b92c5d60cb7f25f8\nlease_term_ms: %d\n"+
			"flush_ms: %d\ngrace_seconds: %d\n",
		name, listen, operator, private, d.ts.Getenv("PLATFORM"), d.parameters["lease_term"], d.parameters["flush"], d.parameters["grace"]))
	start(d.ts, false, []string{name, "entry", "--settings", name + ".yaml"})
	await(d.ts, false, []string{"http://" + private + "/health"})
}

// configure applies the first configuration and waits until every entry is linked to all endpoints.
func (d *deployment) configure() {
	d.writeFile("deployment.yaml", "id: first\nbase: 0\nbilling: {window_seconds: "+strconv.Itoa(d.parameters["window"])+"}\nset:\n"+
		"  partners: [{id: vzorovna}]\n  customers: [{id: school, partner: vzorovna, weight: 1}]\n"+
		"  keys: [{digest: 8ce6e72ad2f01961456e1a40773deed9bdc7c2546fa0d10a1a882cd849623ec1, customer: school, classes: [drafting, issuance]}]\n"+
		"  pools:\n"+
		fmt.Sprintf("    - {id: issuance-api, kind: service, concurrency: %d, max_per_domain: 9}\n", d.parameters["concurrency"])+
		fmt.Sprintf("    - {id: pond-llm, kind: engine, models: [pond-small], concurrency: %d, max_per_domain: 9}\n", d.parameters["concurrency"])+
		"  endpoints:\n"+strings.Join(d.endpoints, "")+"  classes:\n"+d.ts.ReadFile("classes.yaml"))
	d.ts.Setenv("VANILLAPOND_OPERATOR", "root-secret")
	d.ts.Check(d.ts.Exec("vanillapond", "config", "patch", "--entry", "http://"+d.ts.Getenv("OPERATOR1"), "--file", "deployment.yaml"))
	for number := range d.parameters["entries"] {
		private := d.ts.Getenv("PRIVATE" + strconv.Itoa(number+1))
		poll(d.ts, startTimeout, func() error { return d.checkLinks(private) })
	}
}

func (d *deployment) checkLinks(private string) error {
	body := send(d.ts, []string{"GET", "http://" + private + "/events"}).body
	if found := strings.Count(string(body), `"link_up"`); found < len(d.endpoints) {
		return fmt.Errorf("%s: found %d links, want %d", private, found, len(d.endpoints))
	}
	return nil
}
