package configuration_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// twoPartners returns a configuration of two partners with one customer and one key each.
func twoPartners() configuration.Configuration {
	return configuration.Configuration{
		Version:   3,
		Billing:   configuration.Billing{WindowSeconds: 60},
		Partners:  []configuration.Partner{{ID: "sveti", Operators: []ident.KeyDigest{"cc"}}, {ID: "vzorovna"}},
		Customers: []configuration.Customer{{ID: "parish", Partner: "sveti", Weight: 1}, {ID: "school", Partner: "vzorovna", Weight: 1}},
		Keys:      []configuration.Key{{Digest: "aa", Customer: "parish"}, {Digest: "bb", Customer: "school"}},
		Pools:     []configuration.Pool{{ID: "pond-llm"}},
		Classes:   []configuration.Class{{ID: "chat", Pool: "pond-llm"}},
	}
}

func TestAuthorize(t *testing.T) {
	t.Parallel()
	customer := func(id ident.Customer, partner ident.Partner) configuration.Patch {
		return configuration.Patch{Set: configuration.Entities{Customers: []configuration.Customer{{ID: id, Partner: partner, Weight: 1}}}}
	}
	key := func(digest ident.KeyDigest, of ident.Customer) configuration.Patch {
		return configuration.Patch{Set: configuration.Entities{Keys: []configuration.Key{{Digest: digest, Customer: of}}}}
	}
	newKey := customer("choir", "sveti")
	newKey.Set.Keys = key("cc", "choir").Set.Keys
	for name, test := range map[string]struct {
		patch configuration.Patch
		// denied is the field that the error names; empty if the patch is allowed.
		denied string
	}{
		"new customer":               {customer("choir", "sveti"), ""},
		"own customer changed":       {customer("parish", "sveti"), ""},
		"customer of another":        {customer("choir", "vzorovna"), "set.customers"},
		"another's customer taken":   {customer("school", "sveti"), "set.customers"},
		"own customer reassigned":    {customer("parish", "vzorovna"), "set.customers"},
		"own key":                    {key("cc", "parish"), ""},
		"new customer and its key":   {newKey, ""},
		"key of another":             {key("cc", "school"), "set.keys"},
		"key of unknown customer":    {key("cc", "none"), "set.keys"},
		"another's key taken":        {key("bb", "parish"), "set.keys"},
		"own key withdrawn":          {configuration.Patch{Remove: configuration.Removals{Keys: []ident.KeyDigest{"aa"}}}, ""},
		"another's key withdrawn":    {configuration.Patch{Remove: configuration.Removals{Keys: []ident.KeyDigest{"bb"}}}, "remove.keys"},
		"unknown key withdrawn":      {configuration.Patch{Remove: configuration.Removals{Keys: []ident.KeyDigest{"cc"}}}, "remove.keys"},
		"own customer removed":       {configuration.Patch{Remove: configuration.Removals{Customers: []ident.Customer{"parish"}}}, ""},
		"another's customer removed": {configuration.Patch{Remove: configuration.Removals{Customers: []ident.Customer{"school"}}}, "remove.customers"},
		"billing":                    {configuration.Patch{Billing: &configuration.Billing{WindowSeconds: 1}}, "billing"},
		"partner":                    {configuration.Patch{Set: configuration.Entities{Partners: []configuration.Partner{{ID: "sveti"}}}}, "set.partners"},
		"class":                      {configuration.Patch{Set: configuration.Entities{Classes: []configuration.Class{{ID: "chat"}}}}, "set.classes"},
		"pool":                       {configuration.Patch{Remove: configuration.Removals{Pools: []ident.Pool{"pond-llm"}}}, "remove.pools"},
		"endpoint":                   {configuration.Patch{Set: configuration.Entities{Endpoints: []configuration.Endpoint{{ID: "llm-1"}}}}, "set.endpoints"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			err := twoPartners().Authorize("sveti", test.patch)
			if test.denied == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), test.denied+": found ")) // The error names the field and the value found.
		})
	}
}

func TestVisibleTo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	view := twoPartners().VisibleTo("sveti")
	is.Equal(view.Customers, twoPartners().Customers[:1])
	is.Equal(view.Keys, twoPartners().Keys[:1])
	is.Equal(len(view.Partners), 1)
	is.Equal(len(view.Pools)+len(view.Endpoints), 0)
	change := configuration.Change{Version: 2, Patch: "p", Touched: []string{"customers/parish", "customers/school", "-keys/bb", "keys/aa"}}
	is.Equal(change.VisibleIn(view).Touched, []string{"customers/parish", "keys/aa"})
	change.Operator = "cc"
	is.Equal(change.VisibleIn(view), change) // Changes by the partner's own operators are visible in full.
}

func TestApplyErrors(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := twoPartners().Apply(configuration.Patch{ID: "p", Base: 2})
	is.Equal(err.Error(), "base: found 2, want the current version 3")
	_, err = twoPartners().Apply(configuration.Patch{
		ID: "p", Base: 3, Remove: configuration.Removals{Customers: []ident.Customer{"none"}},
	})
	is.Equal(err.Error(), "remove.customers: found none, want an id that exists")
	choir := configuration.Entities{Customers: []configuration.Customer{{ID: "choir", Partner: "sveti"}}}
	bare := configuration.Configuration{Billing: twoPartners().Billing, Partners: []configuration.Partner{{ID: "sveti"}}}
	_, err = bare.Apply(configuration.Patch{ID: "p", Set: choir})
	is.Equal(err.Error(), "customers/choir.weight: found 0, want at least 1") // by its id, not its index
}
