//! Client of the platform's key-value service over the etcd v3 JSON gateway.
