package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var profileCommand = command{
	name: "profile", args: "apply|get|list|retire|status -settings FILE [FLAGS] [ARGUMENTS]",
	summary: "create, change, retire and follow profiles",
	examples: []string{
		"profile apply -settings sample/vadodara.ini sample/vadodara/label-issue.json",
		"profile apply -settings sample/vadodara.ini -if-version 12 label-issue.json",
		"profile get -settings sample/vadodara.ini label-issue",
		"profile list -settings sample/vadodara.ini",
		"profile retire -settings sample/vadodara.ini label-issue",
		"profile status -settings sample/vadodara.ini -wait 10s label-issue",
	},
	run: profile,
}

var fleetCommand = command{
	name: "fleet", args: "-settings FILE [-vm NAME]",
	summary:  "show what a VM sees of the other VMs and of the backend servers",
	examples: []string{"fleet -settings sample/vadodara.ini -vm alkapuri-1"},
	run:      showFleet,
}

const operatorTimeout = 30 * time.Second

// operation holds the flags that the operators' commands share.
type operation struct {
	settings  *conf.Settings
	tls       *tls.Config
	file      string
	vm        string
	ifVersion int
	wait      time.Duration
}

func (o *operation) define(fs *flag.FlagSet) {
	fs.StringVar(&o.file, "settings", "", "settings `FILE`")
	fs.StringVar(&o.vm, "vm", "", "`NAME` of the VM to ask; by default the first that answers")
	fs.IntVar(&o.ifVersion, "if-version", -1, "apply only when the profile has this `VERSION`; 0 for a new one")
	fs.DurationVar(&o.wait, "wait", 0, "for status: wait this long for the newest version to be in force at every live VM")
}

func (o *operation) load() error {
	if o.file == "" {
		return misuse("-settings must be given")
	}
	settings, err := conf.Load(o.file)
	if err != nil {
		return err
	}
	o.settings = settings
	o.tls, err = entry.LoadTLS(settings)
	return err
}

func (o *operation) operator() *profs.Operator {
	c := store.New("http://"+o.settings.Text("platform", "address"), o.settings.Text("platform", "key"), "operator")
	operator := profs.NewOperator(c)
	operator.CheckCapacity = profs.CapacityCheck(c.List)
	return operator
}

func profile(ctx context.Context, fs *flag.FlagSet, args []string) error {
	o := &operation{}
	o.define(fs)
	if len(args) == 0 {
		return misuse("one of apply, get, list, retire, status must be named")
	}
	verb := args[0]
	if verb == "-h" || verb == "--help" {
		return flag.ErrHelp
	}
	if err := parse(fs, args[1:]); err != nil {
		return err
	}
	verbs := map[string]func(context.Context, []string) error{
		"apply": o.apply, "get": o.get, "list": o.list, "retire": o.retire, "status": o.status,
	}
	do, ok := verbs[verb]
	if !ok {
		return misuse("%q is not one of apply, get, list, retire, status", verb)
	}
	if err := o.load(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout+o.wait)
	defer cancel()
	return do(ctx, fs.Args())
}

func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", misuse("one %s must be named", what)
	}
	return args[0], nil
}

func (o *operation) apply(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return misuse("at least one profile document must be named")
	}
	if len(args) > 1 && o.ifVersion >= 0 {
		return misuse("-if-version goes with one document")
	}
	for _, file := range args {
		if err := o.applyFile(ctx, file); err != nil {
			return err
		}
	}
	return nil
}

func (o *operation) applyFile(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	doc, err := profs.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	version, err := o.operator().Apply(ctx, doc, o.ifVersion)
	if err != nil {
		return err
	}
	fmt.Printf("%s accepted at version %d\n", doc.Name, version)
	return nil
}

func (o *operation) get(ctx context.Context, args []string) error {
	name, err := one(args, "profile")
	if err != nil {
		return err
	}
	doc, version, err := o.operator().Lookup(ctx, name)
	if err != nil {
		return err
	}
	if version == 0 {
		return fmt.Errorf("there is no profile %s", name)
	}
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("encode profile: %w", err)
	}
	fmt.Fprintf(os.Stderr, "version %d\n", version)
	fmt.Println(string(text))
	return nil
}

func (o *operation) list(ctx context.Context, _ []string) error {
	list, err := o.operator().List(ctx, profs.ObjectKind)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "profile\tversion\tback end\tmodels\tstate")
	for _, obj := range list.Items {
		doc, err := profs.Parse(obj.Value)
		state := "in force"
		switch {
		case err != nil:
			state = "not valid"
		case doc.Retired:
			state = "retired"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%s\n", obj.Name, obj.Version, doc.Backend, len(doc.Models), state)
	}
	return t.Flush()
}

func (o *operation) retire(ctx context.Context, args []string) error {
	name, err := one(args, "profile")
	if err != nil {
		return err
	}
	version, err := o.operator().Retire(ctx, name)
	if err != nil {
		return err
	}
	fmt.Printf("%s retired at version %d\n", name, version)
	return nil
}

// status shows which version of a profile each VM has in force.
func (o *operation) status(ctx context.Context, args []string) error {
	name, err := one(args, "profile")
	if err != nil {
		return err
	}
	_, newest, err := o.operator().Lookup(ctx, name)
	if err != nil {
		return err
	}
	if newest == 0 {
		return fmt.Errorf("there is no profile %s", name)
	}
	deadline := time.Now().Add(o.wait)
	for {
		nodes, err := o.versions(ctx, name)
		if err != nil {
			return err
		}
		missing := countMissing(nodes, newest)
		if missing == 0 || time.Now().After(deadline) {
			if err := printVersions(nodes, name, newest); err != nil {
				return err
			}
			if missing > 0 && o.wait > 0 {
				return fmt.Errorf("version %d of %s is not in force at %d VMs after %v", newest, name, missing, o.wait)
			}
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// inForce is the version of a profile at one VM.
type inForce struct {
	wire.NodeStatus
	version int
}

// versions asks a VM which others there are, and then each of them.
func (o *operation) versions(ctx context.Context, name string) ([]inForce, error) {
	reply, err := o.ask(ctx, false)
	if err != nil {
		return nil, err
	}
	nodes := make([]inForce, len(reply.Nodes))
	var calls sync.WaitGroup
	for i, n := range reply.Nodes {
		nodes[i] = inForce{NodeStatus: n}
		if n.State == wire.NodeStatusStateUnknown {
			continue
		}
		calls.Go(func() {
			own, err := askVM(ctx, o.dialer(), n.PeerAddress, false)
			if err != nil {
				nodes[i].State = wire.NodeStatusStateUnknown
				return
			}
			nodes[i].version = versionOf(own, n.Node, name)
		})
	}
	calls.Wait()
	return nodes, nil
}

func versionOf(reply *wire.FleetReply, node, name string) int {
	for _, n := range reply.Nodes {
		for _, v := range n.Versions {
			if n.Node == node && v.Name == profs.ObjectKind+"/"+name {
				return v.Version
			}
		}
	}
	return 0
}

// countMissing counts the live VMs without the newest version.
func countMissing(nodes []inForce, newest int) int {
	missing := 0
	for _, n := range nodes {
		if n.State == wire.NodeStatusStateLive && n.version < newest {
			missing++
		}
	}
	return missing
}

func printVersions(nodes []inForce, name string, newest int) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "VM\tfailure domain\tstate\tversion of %s (newest %d)\n", name, newest)
	for _, n := range nodes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", n.Node, n.FailureDomain, n.State, n.version)
	}
	return t.Flush()
}

func (o *operation) dialer() *link.Dialer {
	return &link.Dialer{
		TLS: o.tls, Key: o.settings.Text("peers", "operator_key"),
		Hello: func() wire.Hello { return wire.Hello{Protocol: link.Protocol, Node: "operator"} },
	}
}

// ask asks a VM what it sees.
func (o *operation) ask(ctx context.Context, servers bool) (*wire.FleetReply, error) {
	dialer := o.dialer()
	var last error
	for _, vm := range o.settings.VMs() {
		if o.vm != "" && vm.Name() != o.vm {
			continue
		}
		reply, err := askVM(ctx, dialer, vm.PeerListen(), servers)
		if err == nil {
			return reply, nil
		}
		last = fmt.Errorf("ask %s: %w", vm.Name(), err)
	}
	if last == nil {
		return nil, fmt.Errorf("the settings have no VM %q", o.vm)
	}
	return nil, last
}

func askVM(ctx context.Context, dialer *link.Dialer, address string, servers bool) (*wire.FleetReply, error) {
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.Send(ctx, &wire.Message{FleetQuery: &wire.FleetQuery{Servers: servers}}); err != nil {
		return nil, err
	}
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return nil, err
		}
		if m.FleetReply != nil {
			return m.FleetReply, nil
		}
	}
}

func showFleet(ctx context.Context, fs *flag.FlagSet, args []string) error {
	o := &operation{}
	fs.StringVar(&o.file, "settings", "", "settings `FILE`")
	fs.StringVar(&o.vm, "vm", "", "`NAME` of the VM to ask; by default the first that answers")
	if err := parse(fs, args); err != nil {
		return err
	}
	if err := noArguments(fs); err != nil {
		return err
	}
	if err := o.load(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := o.ask(ctx, true)
	if err != nil {
		return err
	}
	fmt.Println("as seen by", reply.Node)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tfailure domain\tstate\taddress")
	for _, n := range reply.Nodes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", n.Node, n.FailureDomain, n.State, n.PeerAddress)
	}
	fmt.Fprintln(t, "\nserver\tfailure domain\tstate\trunning\tqueued\tmodels and adapters")
	for _, s := range reply.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\n", s.Server, s.FailureDomain, s.State, s.Running, s.Queued, len(s.Models))
	}
	return t.Flush()
}
