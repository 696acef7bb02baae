package org.ragwortbank.core.model

/** A row of the keys table: the hash of a key and the account that it authenticates. */
data class AccountKey(
    val hash: KeyHash,
    val account: AccountId,
)
