package openaiserver

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenlock/control"
	"martenlock/internal/config"
	"martenlock/internal/openai"
)

// Paths that the server answers itself.
const (
	healthPath = "/health"
	modelsPath = "/v1/models"
)

// RequestReceived implements httpserver.Handler. It answers the request or starts its operation.
func (c *clientConn) RequestReceived() {
	switch {
	case c.request.isGetOrHead && c.request.path == healthPath:
		c.respondHealth()
	case c.request.isGetOrHead && c.request.path == modelsPath:
		c.respondJSON(http.StatusOK, openai.AppendModels(nil, c.server.models(), c.server.startedAt.Unix()))
	case c.request.isAPIRequest:
		c.dispatchAPIRequest()
	default:
		c.respondUnknown()
	}
}

// respondHealth answers a health check of this server: with status 200, or with 503 once a shutdown has started.
func (c *clientConn) respondHealth() {
	if c.server.shutdown.inProgress {
		c.respondJSON(http.StatusServiceUnavailable, []byte(`{"status":"stopping"}`))
		return
	}
	c.respondJSON(http.StatusOK, []byte(`{"status":"ok"}`))
}

// respondUnknown answers a request with an unknown path, or with a method that its path does not support.
func (c *clientConn) respondUnknown() {
	_, isAPIPath := openai.APIByPath(c.request.path)
	isOwnPath := c.request.path == healthPath || c.request.path == modelsPath
	switch {
	case isAPIPath:
		c.respondMethodNotAllowed(http.MethodPost)
	case isOwnPath:
		c.respondMethodNotAllowed(http.MethodGet)
	default:
		c.respondError(&openai.Error{
			Status:  http.StatusNotFound,
			Message: "Unknown request URL: " + c.request.path,
			Type:    errorTypeInvalidRequest,
			Code:    "unknown_url",
		}, "")
	}
}

// respondMethodNotAllowed responds with status 405. allowed is the value of the Allow field.
func (c *clientConn) respondMethodNotAllowed(allowed string) {
	c.respondError(&openai.Error{
		Status:  http.StatusMethodNotAllowed,
		Message: "Method not allowed",
		Type:    errorTypeInvalidRequest,
		Code:    "unknown_url",
	}, "Allow: "+allowed+"\r\n")
}

// dispatchAPIRequest decodes an API request. It starts the request's operation if the request is valid and within
// the server's limits, and rejects it otherwise.
func (c *clientConn) dispatchAPIRequest() {
	s := c.server
	apiRequest, err := openai.Decode(c.request.api, c.conn.Body(), s.config.Request.OpenAI)
	if err != nil {
		c.respondError(err, "")
		return
	}
	p := s.pools.find(c.request.api, apiRequest.Model)
	if p == nil {
		c.respondError(modelNotFound(c.request.api, apiRequest.Model), "")
		return
	}
	limit, neverFits := p.tokenLimits.NeverFits(&p.tokenEstimator, apiRequest.LongestItemTokens, float64(apiRequest.RequestedMaxTokens))
	if neverFits {
		s.counters.oversized++
		c.respondError(apiRequest.ContextLengthError(limit, p.tokenEstimator.Correct(apiRequest.LongestItemTokens)), "")
		return
	}
	class := p.settings.DefaultClass
	if c.request.class != "" {
		class = s.config.ClassIndex(c.request.class)
	}
	switch {
	case class < 0:
		c.respondError(openai.InvalidRequest(s.config.Request.ClassHeader, "there is no class '%s'", c.request.class), "")
	case s.openRequests >= s.config.Limits.MaxRequests || s.shutdown.inProgress:
		c.respondRouterFull()
	case !s.hasMemoryFor(apiRequest.ItemCount * itemOverheadBytes):
		c.respondOutOfMemory()
	default:
		c.startOperation(p, apiRequest, s.config.Classes[class])
	}
}

// respondRouterFull rejects a request above Limits.MaxRequests or during a shutdown.
func (c *clientConn) respondRouterFull() {
	c.respondError(&openai.Error{
		Status:  http.StatusServiceUnavailable,
		Message: "The router takes no more requests now.",
		Type:    errorTypeServer,
		Code:    "router_full",
	}, retryFields(retryAfterFull))
}

// modelNotFound returns the error for a model that no pool serves.
func modelNotFound(api openai.API, model string) *openai.Error {
	return &openai.Error{
		Status:  http.StatusNotFound,
		Message: "The model '" + model + "' does not exist here for " + api.String(),
		Type:    errorTypeInvalidRequest,
		Param:   "model",
		Code:    "model_not_found",
	}
}

// startOperation accepts a request for the pool, counts it as open and starts its operation. The request uses the
// embedding cache if startCached allows it.
func (c *clientConn) startOperation(p *pool, apiRequest *openai.Request, class config.Class) {
	s := c.server
	request := c.newInferenceRequest(p, apiRequest, class)
	c.request.forwardedFields = nil
	exchange := &httpExchange{client: c, request: request, operation: noOperation{}, startedAt: s.now()}
	c.conn.StartServing()
	c.exchange = exchange
	s.openRequests++
	s.bufferedBytes += request.overheadBytes()
	p.openRequests++
	operation := request.startCached(exchange)
	if operation == nil {
		operation = request.start(exchange)
	}
	exchange.operation = operation
}

// newInferenceRequest returns the inferenceRequest for a decoded API request. Its control.Request is complete except for
// the ID.
func (c *clientConn) newInferenceRequest(p *pool, apiRequest *openai.Request, class config.Class) *inferenceRequest {
	s := c.server
	correction := p.tokenEstimator.Correct(1)
	classIndex := class.UnaryIndex
	if apiRequest.Stream {
		classIndex = class.StreamIndex
	}
	request := &inferenceRequest{
		pool:            p,
		apiRequest:      apiRequest,
		path:            c.request.path,
		forwardedFields: c.request.forwardedFields,
		tenant:          c.request.tenant,
		fairShareKey:    xxhash.Sum64String(s.config.FairShareTenant(c.request.tenant)),
		promptTokens:    apiRequest.PromptTokens,
		timeBudget:      c.timeBudget(p.config.Control.Classes[classIndex]),
		moduleRequest:   control.Request{Class: classIndex, Tenant: s.config.TenantIndex(c.request.tenant)},
	}
	event := &request.moduleRequest
	event.PrefixHash = apiRequest.PrefixHash
	event.PrefixTokens = control.Tokens(apiRequest.PrefixTokens * correction)
	event.PromptTokens = control.Tokens(apiRequest.PromptTokens * correction)
	event.MaxTokens = control.Tokens(apiRequest.MaxTokens)
	event.Deadline = s.now().Add(max(request.timeBudget-s.config.Limits.DeadlineMargin, 0))
	event.SessionID = sessionID(c.request.tenant, c.request.session, apiRequest.PromptCacheKey, apiRequest.User)
	return request
}

// timeBudget returns the time within which the request must be answered: the client's time budget or the class's
// deadline, whichever is shorter.
func (c *clientConn) timeBudget(class control.Class) time.Duration {
	if c.request.timeBudget > 0 {
		return min(class.Deadline, c.request.timeBudget)
	}
	return class.Deadline
}

// sessionID returns the id of the session with the first non-empty name, or 0 if all names are empty. The id depends on
// the tenant too, because two tenants may use the same name for different sessions.
func sessionID(tenant string, names ...string) uint64 {
	for _, name := range names {
		if name != "" {
			return xxhash.Sum64String(tenant + "\x00" + name)
		}
	}
	return 0
}

// models returns the names of the models that the current pools list, without duplicates.
func (s *Server) models() (models []string) {
	isListed := map[string]bool{}
	for _, p := range s.pools.current {
		for _, model := range p.settings.Models {
			if !isListed[model] {
				isListed[model] = true
				models = append(models, strings.Clone(model))
			}
		}
	}
	return models
}
