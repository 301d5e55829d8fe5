package operator

import "copperrock.example/copperrock/internal/config/schema"

// RequestFields are the names of the fields of a request that say whose it is; "" for a field that is not read.
type RequestFields struct {
	Team           string
	Tenant         string
	OrderKey       string // of classes in order
	WaitEstimate   string // by which a request asks to be told how long it will wait
	IdempotencyKey string // with the key that a client repeats with each try
	FirstTry       string // by which a client says that this is the first try of its key
}

// The platform's own names for fields.
const (
	platformTenantField   = "project"
	platformOrderKeyField = "lookup"
)

// reservedFields are the names that the protocol gives to other fields.
var reservedFields = []string{"ref", "allow", "effort", "need_mb", "replay"}

// declare declares the names. Under a platform its own names hold where the operator has no other use for them.
func (f *RequestFields) declare(o *schema.Object, platform bool) {
	o.String(&f.Team, "team", "field that holds the team")
	o.String(&f.Tenant, "customer", "field that holds the customer, whose share deployment.customers gives")
	o.String(&f.OrderKey, "key", "field that holds the order key, for types in order")
	o.String(&f.WaitEstimate, "wait", "field by which a request asks to be told how long it will wait")
	o.String(&f.IdempotencyKey, "retry", "field with a key that the client repeats with each try of a job, for the store")
	o.String(&f.FirstTry, "first", "field by which the client says that this is the first try of its key")
	taken := f.checkUnique(o)
	if !platform {
		return
	}
	if f.Tenant == "" && !taken[platformTenantField] {
		f.Tenant = platformTenantField
	}
	if f.OrderKey == "" && !taken[platformOrderKeyField] {
		f.OrderKey = platformOrderKeyField
	}
}

// checkUnique finds fields with two uses, and returns all names in use.
func (f *RequestFields) checkUnique(o *schema.Object) map[string]bool {
	taken := map[string]bool{}
	for _, name := range reservedFields {
		taken[name] = true
	}
	for _, use := range []struct{ option, field string }{
		{"team", f.Team}, {"customer", f.Tenant}, {"key", f.OrderKey}, {"wait", f.WaitEstimate}, {"retry", f.IdempotencyKey}, {"first", f.FirstTry},
	} {
		if taken[use.field] && use.field != "" {
			o.AddError(use.option, "%q is a field of another use already", use.field)
		}
		taken[use.field] = true
	}
	return taken
}
