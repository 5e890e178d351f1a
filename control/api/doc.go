// Package api defines the messages that control replicas exchange with gateways,
// agents and operators over net/rpc. The service is named "Control"; the comment of
// each request type names its method.
package api
