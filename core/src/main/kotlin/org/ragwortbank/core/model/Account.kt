package org.ragwortbank.core.model

/**
 * A row of the accounts table: a client account and its rate limit.
 *
 * @property rate tokens per second over the whole fleet
 * @property burst capacity of the bucket: the most tokens that may be consumed at once after a pause
 */
data class Account(
    val id: AccountId,
    val rate: Long,
    val burst: Long,
) {
    companion object {
        /** The account charged for requests without a key, on routes that allow them. */
        val ANONYMOUS: AccountId = AccountId("anonymous")
    }
}
