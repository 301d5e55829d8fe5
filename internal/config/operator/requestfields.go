package operator

import "copperrock.example/copperrock/internal/config/schema"

// RequestFields are the names of optional fields of a request; "" for a field that is not read.
type RequestFields struct {
	Team           string
	Tenant         string
	OrderKey       string // field with the ordered key, for ordered classes
	WaitEstimate   string // field with which a request asks for an estimate of its wait
	IdempotencyKey string // field with the key that a client repeats with each try
	FirstTry       string // field with which a client marks the first try of its key
}

// The names of fields on the platform.
const (
	platformTenantField   = "project"
	platformOrderKeyField = "lookup"
)

// reservedFields are the names that the protocol uses for other fields.
var reservedFields = []string{"ref", "allow", "effort", "need_mb", "replay"}

// declare declares the names of the fields. With a platform, its names are the defaults, unless the operator uses them for other
// fields.
func (f *RequestFields) declare(o *schema.Object, platform bool) {
	o.String(&f.Team, "team", "field with the team")
	o.String(&f.Tenant, "customer", "field with the customer, whose share is in deployment.customers")
	o.String(&f.OrderKey, "key", "field with the order key, for types with in_order")
	o.String(&f.WaitEstimate, "wait", "field with which a request asks for an estimate of how long it will wait")
	o.String(&f.IdempotencyKey, "retry", "field with a key that the client repeats with each try of a job, for the store")
	o.String(&f.FirstTry, "first", "field with which the client marks the first try of its key")
	used := f.checkUnique(o)
	if !platform {
		return
	}
	if f.Tenant == "" && !used[platformTenantField] {
		f.Tenant = platformTenantField
	}
	if f.OrderKey == "" && !used[platformOrderKeyField] {
		f.OrderKey = platformOrderKeyField
	}
}

// checkUnique adds an error for each name that has two uses, and returns the set of names in use.
func (f *RequestFields) checkUnique(o *schema.Object) map[string]bool {
	used := map[string]bool{}
	for _, name := range reservedFields {
		used[name] = true
	}
	for _, field := range []struct{ option, name string }{
		{"team", f.Team}, {"customer", f.Tenant}, {"key", f.OrderKey}, {"wait", f.WaitEstimate}, {"retry", f.IdempotencyKey}, {"first", f.FirstTry},
	} {
		if used[field.name] && field.name != "" {
			o.AddError(field.option, "field %q already has another use", field.name)
		}
		used[field.name] = true
	}
	return used
}
