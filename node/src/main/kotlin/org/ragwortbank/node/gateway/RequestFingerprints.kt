package org.ragwortbank.node.gateway

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServingCall

/**
 * The fingerprint of [request], decoded as [call]: equal for repeats, which have the same method, host, target (path
 * and query), key and body.
 */
internal fun fingerprintOf(call: ServingCall, request: CallerRequest): RequestFingerprint {
    val target = "${request.head.method()} ${call.host}${request.head.uri()}"
    val head = "$target ${call.key?.hex}\n".encodeToByteArray()
    return RequestFingerprint(RendezvousHash.hashOf(head + request.body))
}
