// Package ths3 implements thplatform.ObjectStore with the S3 API.
package ths3

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

// MaxObjectSize is the maximum size of an object, in bytes. The largest objects are
// snapshots, with four tables of at most 390 KB each.
const MaxObjectSize = 4 << 20

// Settings holds the address of the bucket and the credentials.
type Settings struct {
	Endpoint  string // URL; empty means the default endpoint of the region
	Bucket    string
	Region    string
	AccessKey string
	Secret    string
}

// Objects is a thplatform.ObjectStore. Create one with New.
type Objects struct {
	client *s3.Client
	bucket *string
}

var _ thplatform.ObjectStore = (*Objects)(nil)

// New returns a client for the bucket. It opens no connection.
func New(s Settings) *Objects {
	o := s3.Options{
		Region:       s.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(s.AccessKey, s.Secret, ""),
		HTTPClient:   thplatform.NewHTTPClient(MaxObjectSize),
		UsePathStyle: true,
		// thplatform.Guard retries, within its retry budget.
		Retryer: aws.NopRetryer{},
		// Digests in the configuration verify the content, and other implementations
		// of the API do not support the SDK's trailing checksums.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
	if s.Endpoint != "" {
		o.BaseEndpoint = aws.String(s.Endpoint)
	}
	return &Objects{client: s3.New(o), bucket: aws.String(s.Bucket)}
}

// Get reads an object; see thplatform.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, trace := thplatform.WithTrace(ctx)
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: o.bucket, Key: aws.String(name)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, therror.Wrap(therror.Absent, err, "object %s", name)
	}
	if err != nil {
		return nil, trace.WrapError(err, false, "read object "+name)
	}
	defer func() { _ = out.Body.Close() }()
	// The client's transport limits the size.
	body, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, trace.WrapError(err, false, "read object "+name)
	}
	return body, nil
}

// Put writes an object; see thplatform.ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	if len(body) > MaxObjectSize {
		return therror.New(therror.Refused, "object %s has %d bytes, at most %d are allowed", name, len(body), MaxObjectSize)
	}
	ctx, trace := thplatform.WithTrace(ctx)
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{Bucket: o.bucket, Key: aws.String(name), Body: bytes.NewReader(body)})
	if err != nil {
		return trace.WrapError(err, true, "write object "+name)
	}
	return nil
}
